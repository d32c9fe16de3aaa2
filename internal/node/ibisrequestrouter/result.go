package ibisrequestrouter

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/peer/ibisbackend"
	"github.com/ibisridge/ibisridge/internal/peer/ibiscaller"
)

const (
	// headerLoad is the header by which a node reports the load of its gate to the node that forwarded the request.
	headerLoad = "Ibis-Load"
	// maxProblemBytes limits the part of another node's refusal that is read.
	maxProblemBytes = 16 << 10
)

// result is the result of one attempt: an answer to stream, or a refusal.
type result struct {
	outcome ibisid.Outcome
	answer  *ibisbackend.Answer
	refusal *ibiscaller.Refusal
	latency time.Duration
	load    float64
	// bodyPending is set if the body has not arrived by the deadline, so that the headers must be sent without it.
	bodyPending bool
}

func refused(refusal *ibiscaller.Refusal) result {
	return result{
		outcome: refusal.Outcome,
		refusal: refusal,
	}
}

// discard closes an answer that is not used.
func (r result) discard() {
	if r.answer != nil {
		_ = r.answer.Body().Close()
	}
}

// permanent reports whether a retry would be refused for the same reason.
func (r result) permanent() bool {
	return r.refusal != nil && r.outcome == ibisid.OutcomeNotRun && r.refusal.Status != http.StatusServiceUnavailable
}

// removeReservedHeaders removes from a backend server's answer the headers that only nodes may set for callers and for each
// other.
func removeReservedHeaders(header http.Header) {
	for name := range header {
		if strings.HasPrefix(name, "Ibis-") {
			delete(header, name)
		}
	}
}

// resultFromPeer converts another node's answer into a result. An outcome header other than failed marks a refusal, whose
// details are read from the problem body.
func resultFromPeer(answer *ibisbackend.Answer) result {
	header := answer.Header()
	load, _ := strconv.ParseFloat(header.Get(headerLoad), 64)
	header.Del(headerLoad)
	outcome := ibisid.Outcome(header.Get(ibiscaller.HeaderOutcome))
	if outcome == "" || outcome == ibisid.OutcomeFailed {
		return result{
			outcome: outcomeOfStatus(answer.Status()),
			answer:  answer,
			load:    load,
		}
	}
	defer func() { _ = answer.Body().Close() }()
	refusal := readRefusal(answer)
	refusal.Outcome = outcome
	return result{
		outcome: outcome,
		refusal: refusal,
		load:    load,
	}
}

// outcomeOfStatus returns the outcome failed for server errors (status 500 and above) and done for all other statuses.
func outcomeOfStatus(status int) ibisid.Outcome {
	if status >= http.StatusInternalServerError {
		return ibisid.OutcomeFailed
	}
	return ibisid.OutcomeDone
}

func readRefusal(answer *ibisbackend.Answer) *ibiscaller.Refusal {
	refusal := &ibiscaller.Refusal{
		Status: answer.Status(),
		Code:   "peerRefused",
		Detail: "another node refused the request",
	}
	body, err := io.ReadAll(io.LimitReader(answer.Body(), maxProblemBytes))
	if err == nil {
		_ = json.Unmarshal(body, refusal)
	}
	if seconds, err := strconv.Atoi(answer.Header().Get("Retry-After")); err == nil && refusal.RetryAfter == 0 {
		refusal.RetryAfter = time.Duration(seconds) * time.Second
	}
	return refusal
}
