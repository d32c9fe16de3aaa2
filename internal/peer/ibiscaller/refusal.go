package ibiscaller

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
)

// Refusal is a final answer to a request that was rejected or failed, sent as a problem body of RFC 9457.
type Refusal struct {
	// Status is the HTTP status.
	Status int
	// Outcome states whether the request ran.
	Outcome ibisid.Outcome
	// Code is the machine-readable reason in camel case.
	Code string
	// Detail is the human-readable explanation: what happened and what is allowed.
	Detail string
	// RetryAfter is the time to wait before a retry, zero for no Retry-After header.
	RetryAfter time.Duration
	// Regions lists regions that may serve the request instead.
	Regions []ibisid.RegionName
	// Owner is the member that owns the key, zero if unknown to the node that refused; only nodes use it.
	Owner ibisid.Member
}

// Write sends the refusal as the answer.
func (r Refusal) Write(w http.ResponseWriter) {
	body, err := json.Marshal(r)
	if err != nil {
		panic("encode a problem body: " + err.Error())
	}
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set(HeaderOutcome, string(r.Outcome))
	if r.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(r.RetryAfter.Seconds()))))
	}
	w.WriteHeader(r.Status)
	_, _ = w.Write(append(body, '\n'))
}

// problem is the body of a refusal.
type problem struct {
	Type             string              `json:"type"`
	Title            string              `json:"title"`
	Status           int                 `json:"status"`
	Detail           string              `json:"detail"`
	Outcome          ibisid.Outcome      `json:"outcome"`
	RetryAfterMillis int64               `json:"retryAfterMillis,omitempty"`
	Regions          []ibisid.RegionName `json:"regions,omitempty"`
	Owner            ibisid.Member       `json:"owner,omitzero"`
}

const problemType = "urn:ibisridge:problem:"

// MarshalJSON encodes the refusal as a problem body.
func (r Refusal) MarshalJSON() ([]byte, error) {
	return json.Marshal(problem{
		Type:             problemType + r.Code,
		Title:            http.StatusText(r.Status),
		Status:           r.Status,
		Detail:           r.Detail,
		Outcome:          r.Outcome,
		RetryAfterMillis: r.RetryAfter.Milliseconds(),
		Regions:          r.Regions,
		Owner:            r.Owner,
	})
}

// UnmarshalJSON decodes a problem body that another node sent.
func (r *Refusal) UnmarshalJSON(data []byte) error {
	var p problem
	if err := json.Unmarshal(data, &p); err != nil {
		return err
	}
	*r = Refusal{
		Status:     p.Status,
		Outcome:    p.Outcome,
		Code:       strings.TrimPrefix(p.Type, problemType),
		Detail:     p.Detail,
		RetryAfter: time.Duration(p.RetryAfterMillis) * time.Millisecond,
		Regions:    p.Regions,
		Owner:      p.Owner,
	}
	return nil
}
