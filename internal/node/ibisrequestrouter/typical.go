package ibisrequestrouter

import (
	"net/http"

	"github.com/ibisridge/ibisridge/internal/peer/ibisbackend"
	"github.com/ibisridge/ibisridge/internal/request/ibisadmit"
)

// reportTypical adds what this node's gate has learnt of the latency of the request's class to the header of a forwarded request
// or of its answer, so that the other node's gate has a baseline before it has answers of its own. The header names neither
// class nor tenant nor key. Classes are compared within one service only.
func (rt *Router) reportTypical(q *request, header http.Header) {
	if !rt.servesRoute(q) {
		return
	}
	if typical, ok := rt.gate.ReportTypical(q.match.Route.Class); ok {
		header.Set(ibisbackend.HeaderTypical, ibisadmit.Report{
			From:    rt.ownership.Self().Member.Name,
			Typical: typical,
		}.String())
	}
}

// learnTypical passes to the gate what another node reported with the request or its answer. Nodes without the header, or with one
// that can't be read, report nothing.
func (rt *Router) learnTypical(q *request, text string) {
	if text == "" || !rt.servesRoute(q) {
		return
	}
	if report, err := ibisadmit.ParseReport(text); err == nil {
		rt.gate.LearnTypical(q.match.Route.Class, report)
	}
}

func (rt *Router) servesRoute(q *request) bool {
	return rt.ownership.Self().Service == q.match.Route.Service
}
