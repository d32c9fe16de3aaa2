package reviewcase

import (
	"fmt"
	"net/http"
)

// starvedShare is the share of what is served of all requests below which a kind of request is starved.
const starvedShare = 0.25

// servedShare returns the share of requests that were answered with success.
func servedShare(all []outcome) float64 {
	served := 0
	for _, o := range all {
		if o.status == http.StatusOK {
			served++
		}
	}
	return float64(served) / float64(max(1, len(all)))
}

// checkStarved checks that a kind of request is served at least a quarter as often as all requests.
func (w *world) checkStarved(kind string, ofKind, others []outcome) []string {
	kindShare, share := servedShare(ofKind), servedShare(append(append([]outcome(nil), ofKind...), others...))
	w.log.add("served: %.3f of %d requests %s, %.3f of all %d", kindShare, len(ofKind), kind, share, len(ofKind)+len(others))
	if kindShare >= starvedShare*share {
		return nil
	}
	return []string{fmt.Sprintf("Starved: %.3f of the requests %s are served, %.3f of all", kindShare, kind, share)}
}
