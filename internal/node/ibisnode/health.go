package ibisnode

import (
	"io"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
)

const (
	pathHealthy = "/healthz"
	pathReady   = "/readyz"
	pathMetrics = "/metrics"
)

// operatorMux serves health, readiness and metrics, and passes all other requests to the operator interface.
func (n *Node) operatorMux(operators http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+pathHealthy, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	mux.HandleFunc("GET "+pathReady, n.serveReady)
	mux.HandleFunc("GET "+pathMetrics, n.serveMetrics)
	mux.Handle("/", operators)
	return mux
}

// serveReady responds with 200 while the node accepts requests, and otherwise with 503 and the reason.
func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	if reason := n.notReadyReason(); reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

// notReadyReason returns why the node does not accept requests, or an empty string if it does.
func (n *Node) notReadyReason() string {
	switch {
	case n.stopping.Load():
		return "the node is stopping"
	case n.documents.Current() == nil:
		return "the node has no document yet"
	case n.documents.Stale():
		return "the node has had no news of the document for too long"
	}
	c := n.components.Load()
	switch {
	case c == nil:
		return "the node has not joined yet"
	case !c.manager.Ready():
		return "the node's lease does not hold, or it does not know yet who owns its service's keys"
	}
	return ""
}

func (n *Node) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	n.metrics.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}
