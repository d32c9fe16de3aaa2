package ibisdoc

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/document/ibisname"
)

var (
	allMethods        = []string{http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete}
	idempotentMethods = []string{http.MethodGet, http.MethodHead}
)

// maxRoutesPerDirectory limits the routes that a lookup tries for one literal path prefix.
const maxRoutesPerDirectory = 64

func (d *draft) checkRoutes(doc *Document) {
	if d.unchanged(KindRoutes, KindKeySpaces, KindServices, KindClasses) {
		doc.routes = d.cache.document.routes
		return
	}
	doc.routes = make(routeIndex, len(d.content.Routes))
	var compiled []*compiledRoute
	for _, name := range slices.Sorted(maps.Keys(d.content.Routes)) {
		if r := d.checkRoute(doc, name); r != nil {
			compiled = append(compiled, r)
			doc.routes.add(r)
		}
	}
	for _, r := range compiled {
		r.shapes = r.shapesOf()
		if len(doc.routes.sameDirectory(r)) > maxRoutesPerDirectory {
			d.fault(d.entryPath(KindRoutes, r.name)+".path", r.route.Path, "at most %d routes with variables below %s", maxRoutesPerDirectory, r.path.directory())
		}
	}
	for _, r := range compiled {
		d.checkOverlaps(doc.routes, r)
	}
	for _, r := range compiled {
		r.shapes = nil
	}
}

func (d *draft) checkRoute(doc *Document, name string) *compiledRoute {
	route := d.content.Routes[name]
	at := d.entryPath(KindRoutes, name)
	d.checkMethods(at, route)
	if !has(d.content.Services, route.Service) {
		d.fault(at+".service", string(route.Service), "one of the services %s", joinKeys(d.content.Services))
	}
	if !has(d.content.Classes, route.Class) {
		d.fault(at+".class", string(route.Class), "one of the classes %s", joinKeys(d.content.Classes))
	}
	if route.MaxBody < 0 || route.MaxBody > maxBodyLimitBytes {
		d.fault(at+".maxBody", strconv.FormatInt(route.MaxBody, 10), "0 to %d bytes", int64(maxBodyLimitBytes))
	}
	if strings.ToLower(route.Host) != route.Host || strings.ContainsAny(route.Host, "/: ") {
		d.fault(at+".host", route.Host, "a host in small letters, without port")
	}
	path, err := parsePath(route.Path)
	if err != nil {
		d.fault(at+".path", route.Path, "%s", err)
		return nil
	}
	r := &compiledRoute{
		name:    name,
		route:   route.withDefaults(),
		path:    path,
		section: d.definingSection(KindRoutes, name),
	}
	if !d.checkRouteScheme(doc, at, r) {
		return nil
	}
	return r
}

func (d *draft) checkMethods(at string, route Route) {
	if len(route.Methods) == 0 {
		d.fault(at+".methods", "", "at least one of %s", strings.Join(allMethods, ", "))
	}
	for i, method := range route.Methods {
		path := fmt.Sprintf("%s.methods[%d]", at, i)
		if !slices.Contains(allMethods, method) || slices.Index(route.Methods, method) != i {
			d.fault(path, method, "one of %s, each once", strings.Join(allMethods, ", "))
		}
		if route.NonIdempotent && slices.Contains(idempotentMethods, method) {
			d.fault(path, method, "a method that may change state, as the route is not idempotent")
		}
	}
	if route.Recorded && !route.NonIdempotent {
		d.fault(at+".recorded", "true", "only with nonIdempotent")
	}
}

// checkRouteScheme checks that the path holds {key} if and only if the route has a scheme, and that a service that is divided
// by key gets a key of its own key space.
func (d *draft) checkRouteScheme(doc *Document, at string, r *compiledRoute) bool {
	route := r.route
	if r.path.hasKey != (route.Scheme != "") {
		d.fault(at+".scheme", route.Scheme, "a scheme exactly where the path holds {key}")
		return false
	}
	service := d.content.Services[route.Service]
	if !r.path.hasKey {
		if service.KeySpace != "" {
			d.fault(at+".path", route.Path, "a path with {key}, as service %s is divided by key", route.Service)
		}
		return true
	}
	space, scheme, ok := d.scheme(doc, at+".scheme", route.Scheme)
	if !ok {
		return false
	}
	if service.KeySpace != "" && service.KeySpace != space.Name() {
		d.fault(at+".scheme", route.Scheme, "a scheme of key space %s, by which service %s is divided", service.KeySpace, route.Service)
	}
	r.space, r.scheme = space, scheme
	return true
}

// scheme resolves KEYSPACE/SCHEME. It adds no fault for a key space that is itself invalid, as that one is reported already.
func (d *draft) scheme(doc *Document, at, text string) (*ibisname.Space, ibisid.SchemeName, bool) {
	spaceName, schemeName, _ := strings.Cut(text, "/")
	content, known := d.content.KeySpaces[ibisid.KeySpaceName(spaceName)]
	if !known {
		d.fault(at, text, "KEYSPACE/SCHEME with one of the key spaces %s", joinKeys(d.content.KeySpaces))
		return nil, "", false
	}
	scheme := ibisid.SchemeName(schemeName)
	if !has(content.Schemes, scheme) {
		d.fault(at, text, "%s/ and one of the schemes %s", spaceName, joinKeys(content.Schemes))
		return nil, "", false
	}
	space, valid := doc.spaces[ibisid.KeySpaceName(spaceName)]
	return space, scheme, valid
}

// checkOverlaps adds a fault if two routes of the same host and method match a common path.
func (d *draft) checkOverlaps(index routeIndex, r *compiledRoute) {
	dirs := index[r.route.Host]
	for dir := r.path.directory(); dir != ""; dir = parentDirectory(dir) {
		for _, other := range dirs[dir] {
			if r.reportsOverlapWith(other) && r.overlaps(other) {
				d.fault(d.entryPath(KindRoutes, r.name)+".path", r.route.Path, "a path that no route of the same host and method takes: %s of section %s takes %s",
					other.name, other.section, other.route.Path)
			}
		}
	}
}

// reportsOverlapWith reports whether this route, of two overlapping ones, gets the fault: the one with the longer literal
// path prefix, or with the lesser name if the prefixes are equal. So each overlap gives one fault.
func (r *compiledRoute) reportsOverlapWith(other *compiledRoute) bool {
	return r != other && (r.path.directory() != other.path.directory() || r.name < other.name)
}

func (r *compiledRoute) overlaps(other *compiledRoute) bool {
	if !slices.ContainsFunc(r.route.Methods, func(m string) bool { return slices.Contains(other.route.Methods, m) }) {
		return false
	}
	for _, a := range r.shapes {
		for _, b := range other.shapes {
			if a.intersects(b) {
				return true
			}
		}
	}
	return false
}
