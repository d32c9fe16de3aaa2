package ibisdoc

import (
	"slices"
	"strings"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/document/ibisname"
)

// MatchStatus is the result of a route lookup.
type MatchStatus string

const (
	// MatchFound means that a route matches the request.
	MatchFound MatchStatus = "matched"
	// MatchNoRoute means that no route matches the path.
	MatchNoRoute MatchStatus = "noRoute"
	// MatchMethodNotAllowed means that a route matches the path, but not the method.
	MatchMethodNotAllowed MatchStatus = "methodNotAllowed"
	// MatchBadName means that a route matches the path, but the key name is not valid in the route's scheme.
	MatchBadName MatchStatus = "badName"
)

// Match is the result of matching a request with the routes.
type Match struct {
	// RouteName is the name of the route.
	RouteName string
	// Route is the route with its defaults filled in.
	Route Route
	// Key is the canonical key of the key name in the path.
	Key ibisname.Key
	// HasKey reports whether the path contains a key name.
	HasKey bool
	// Variables lists the values of the path's other variables.
	Variables []PathVariable
	// Allowed lists the methods of the path, where the status is MatchMethodNotAllowed.
	Allowed []string
	// Err is the reason why the key name is not valid, where the status is MatchBadName.
	Err error
}

// compiledRoute is a route with its path and naming scheme.
type compiledRoute struct {
	name    string
	route   Route
	path    routePath
	space   *ibisname.Space
	scheme  ibisid.SchemeName
	shapes  []pathShape
	section SectionName
}

// routeIndex maps a host, and then the literal prefix of a path template, to routes.
type routeIndex map[string]map[string][]*compiledRoute

// sameDirectory returns the routes with the same host and the same literal path prefix, including r.
func (i routeIndex) sameDirectory(r *compiledRoute) []*compiledRoute {
	return i[r.route.Host][r.path.directory()]
}

func (i routeIndex) add(r *compiledRoute) {
	dirs, ok := i[r.route.Host]
	if !ok {
		dirs = make(map[string][]*compiledRoute)
		i[r.route.Host] = dirs
	}
	dir := r.path.directory()
	dirs[dir] = append(dirs[dir], r)
}

// MatchRoute returns the route that matches a request; a route for the given host takes precedence over one for any host.
func (d *Document) MatchRoute(method, host, path string) (Match, MatchStatus) {
	m := routeMatcher{
		method: method,
		path:   path,
		status: MatchNoRoute,
	}
	if host != "" && m.search(d.routes[host]) {
		return m.match, MatchFound
	}
	if m.search(d.routes[""]) {
		return m.match, MatchFound
	}
	return m.match, m.status
}

type routeMatcher struct {
	method string
	path   string
	match  Match
	status MatchStatus
}

// search tries the routes of a host from the longest literal prefix to the shortest and reports whether one matches the
// request.
func (m *routeMatcher) search(dirs map[string][]*compiledRoute) bool {
	if len(dirs) == 0 {
		return false
	}
	for dir := m.path; dir != ""; dir = parentDirectory(dir) {
		for _, route := range dirs[dir] {
			if m.try(route) {
				return true
			}
		}
	}
	return false
}

// parentDirectory returns the path up to the slash before its last segment, empty for the root.
func parentDirectory(dir string) string {
	return dir[:strings.LastIndexByte(dir[:len(dir)-1], '/')+1]
}

func (m *routeMatcher) try(r *compiledRoute) bool {
	text, ok := r.path.match(m.path)
	if !ok {
		return false
	}
	var key ibisname.Key
	if r.path.hasKey {
		var err error
		key, err = r.space.Canonical(r.scheme, text)
		if err != nil {
			m.setBadName(err)
			return false
		}
	}
	if !slices.Contains(r.route.Methods, m.method) {
		m.status = MatchMethodNotAllowed
		m.match.Allowed = append(m.match.Allowed, r.route.Methods...)
		m.match.Err = nil
		return false
	}
	m.match = Match{
		RouteName: r.name,
		Route:     r.route,
		Key:       key,
		HasKey:    r.path.hasKey,
		Variables: r.path.variables(m.path),
	}
	return true
}

func (m *routeMatcher) setBadName(err error) {
	if m.status == MatchNoRoute {
		m.status = MatchBadName
		m.match.Err = err
	}
}
