package ibisrequestrouter

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/node/ibisidempotencydriver"
	"github.com/ibisridge/ibisridge/internal/node/ibisowner"
	"github.com/ibisridge/ibisridge/internal/ownership/ibisslot"
	"github.com/ibisridge/ibisridge/internal/peer/ibisbackend"
	"github.com/ibisridge/ibisridge/internal/peer/ibiscaller"
	"github.com/ibisridge/ibisridge/internal/request/ibisidempotency"
)

const (
	// fingerprintBytes is the length of the part of a body that its fingerprint covers.
	fingerprintBytes = 256 << 10
	// maxStoredAnswerBytes is the largest body of an answer that is stored for repeats.
	maxStoredAnswerBytes = 16 << 10
)

// runOnce runs a non-idempotent request at most once; a repeat with the same Idempotency-Key gets the stored answer. It
// releases the permit when the answer is closed.
func (rt *Router) runOnce(ctx context.Context, q *request, permit Permit) result {
	return releaseOnClose(rt.runDeduplicated(ctx, q, permit), permit)
}

// runDeduplicated does the work of runOnce, apart from the release of the permit.
func (rt *Router) runDeduplicated(ctx context.Context, q *request, permit Permit) result {
	fingerprint, refusal := q.fingerprint()
	if refusal != nil {
		return refused(refusal)
	}
	response, run := rt.memory.Begin(ibisidempotency.BeginEvent{
		Slot:        permit.Slot(),
		Hash:        uint64(ibisslot.HashKey(q.ownedKey())),
		Tenant:      q.account.Tenant,
		Key:         q.idempotencyKey,
		Fingerprint: fingerprint,
	})
	if response.Verdict != ibisidempotency.VerdictRun {
		return verdictResult(response)
	}
	if refusal := rt.claim(ctx, q); refusal != nil {
		if refusal.Outcome == ibisid.OutcomeUnknown {
			// An earlier record exists, so that repeats must get the outcome unknown. Only a run that is marked as sent can be
			// marked as unknown.
			run.MarkSent()
			run.FinishUnknown()
		} else {
			run.NotRun()
		}
		return refused(refusal)
	}
	return rt.finish(q, rt.runNew(ctx, q, permit, run), run)
}

// runNew runs a request that is not a repeat: at this node's own backend server if the service is divided by key, else at
// a chosen one. There it runs on after its caller disconnects, since repeats get its answer.
func (rt *Router) runNew(ctx context.Context, q *request, permit Permit, run *ibisidempotencydriver.Run) result {
	check := func() error {
		if err := permit.Check(); err != nil {
			return err
		}
		if !run.MarkSent() {
			return &ibisowner.NotOwnerError{}
		}
		return nil
	}
	if q.keyed() {
		return rt.runAtGate(ctx, q, permit, check)
	}
	return rt.runAtChosen(context.WithoutCancel(ctx), q, nil, check)
}

// claim records the request in the platform's table if its route is marked as recorded. The refusal has the outcome unknown
// if an earlier record exists.
func (rt *Router) claim(ctx context.Context, q *request) *ibiscaller.Refusal {
	if !q.match.Route.Recorded {
		return nil
	}
	if len(q.homes) > 0 && !slices.Contains(q.homes, q.document.Content().Topology.StoreRegion) {
		return refuse(http.StatusConflict, "notRecordable", "the platform's store stands outside the tenant's home regions, so that the request can't be recorded")
	}
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), q.deadline)
	defer cancel()
	switch rt.memory.Claim(ctx, q.slot, q.account.Tenant, q.idempotencyKey) {
	case ibisidempotency.ClaimRun:
		return nil
	case ibisidempotency.ClaimTaken:
		return unknown("an earlier request with this Idempotency-Key was recorded and may have run")
	default:
		return busy("notRecorded", "the platform's table did not take the record before the deadline", redirectRetryAfter)
	}
}

// finish records the end of the run in the at-most-once memory and returns the result for the caller.
func (rt *Router) finish(q *request, r result, run *ibisidempotencydriver.Run) result {
	switch {
	case r.outcome == ibisid.OutcomeNotRun:
		run.NotRun()
		return r
	case r.answer == nil:
		run.FinishUnknown()
		return r
	}
	return rt.storeAnswer(q, r, run)
}

// storeAnswer stores the answer for repeats. It reads a small answer completely before the caller gets it. If the answer is
// larger or does not arrive before the deadline, it stores only status and headers and streams the body. If the answer ends
// early while it is read, the caller gets a refusal with the outcome failed.
func (rt *Router) storeAnswer(q *request, r result, run *ibisidempotencydriver.Run) result {
	prefix := readPrefix(r.answer.Body(), maxStoredAnswerBytes)
	deadlineTimer := rt.timer.After(rt.remaining(q), func(time.Time) { prefix.stopWaiting() })
	inTime := prefix.wait()
	deadlineTimer.Stop()
	answer := ibisidempotency.Answer{
		Status:    r.answer.Status(),
		Headers:   storedHeaders(r.answer.Header()),
		Truncated: !inTime || prefix.err != nil || len(prefix.content) > maxStoredAnswerBytes,
	}
	if !answer.Truncated {
		answer.Body = prefix.content
	}
	run.Finish(answer)
	if inTime && prefix.err != nil {
		_ = r.answer.Body().Close()
		return refused(&ibiscaller.Refusal{
			Status:  http.StatusBadGateway,
			Outcome: ibisid.OutcomeFailed,
			Code:    "answerCutShort",
			Detail:  fmt.Sprintf("the request ran with status %d and its answer was cut short", answer.Status),
		})
	}
	r.answer = r.answer.WithBody(prefix)
	r.bodyPending = !inTime
	return r
}

// verdictResult returns the result for a request that the at-most-once memory does not let run.
func verdictResult(response ibisidempotency.Response) result {
	switch response.Verdict {
	case ibisidempotency.VerdictRepeat:
		return repeatAnswer(response.Answer)
	case ibisidempotency.VerdictRunning:
		refusal := unknown("a request with this Idempotency-Key is running now; ask again for its answer")
		refusal.Code = "stillRunning"
		refusal.Status = http.StatusConflict
		refusal.RetryAfter = response.RetryAfter
		return refused(refusal)
	case ibisidempotency.VerdictUnknown:
		return refused(unknown("a request with this Idempotency-Key may have run under an earlier owner; it is not run again"))
	default:
		return refused(memoryRefusal(response))
	}
}

// repeatAnswer returns the stored answer of the first run, or a refusal with the outcome done if it was not stored completely.
func repeatAnswer(answer ibisidempotency.Answer) result {
	if answer.Truncated {
		return refused(&ibiscaller.Refusal{
			Status:  http.StatusConflict,
			Outcome: ibisid.OutcomeDone,
			Code:    "answerNotKept",
			Detail:  fmt.Sprintf("the request ran once with status %d; its answer was too large to keep", answer.Status),
		})
	}
	header := http.Header{}
	for _, h := range answer.Headers {
		header.Add(h.Name, h.Value)
	}
	header.Set(ibiscaller.HeaderRepeated, "true")
	return result{
		outcome: outcomeOfStatus(answer.Status),
		answer:  ibisbackend.NewStoredAnswer(answer.Status, header, answer.Body),
	}
}

func memoryRefusal(response ibisidempotency.Response) *ibiscaller.Refusal {
	switch response.Reason {
	case ibisidempotency.ReasonMismatch:
		return refuse(http.StatusUnprocessableEntity, "idempotencyKeyReused", "this Idempotency-Key was used for another request")
	case ibisidempotency.ReasonFuture:
		return refuse(http.StatusBadRequest, "idempotencyKeyInFuture", "the time of this UUIDv7 lies further ahead than clocks may differ")
	case ibisidempotency.ReasonBadTicket, ibisidempotency.ReasonBadKey:
		return refuse(http.StatusBadRequest, "badIdempotencyKey", "this Idempotency-Key is no ticket for this key and tenant, or has no allowed form")
	case ibisidempotency.ReasonNotOwned, ibisidempotency.ReasonMoving:
		return notOwner(nil)
	case ibisidempotency.ReasonFull:
	}
	return busy("memoryFull", "the at-most-once memory is full; nothing was run", response.RetryAfter)
}

// unknown returns a refusal of a request that may have run.
func unknown(detail string) *ibiscaller.Refusal {
	return &ibiscaller.Refusal{
		Status:  http.StatusBadGateway,
		Outcome: ibisid.OutcomeUnknown,
		Code:    "unknown",
		Detail:  detail,
	}
}

// fingerprint hashes the properties that a repeat must share with the first request: method, route, key, and the length and
// first bytes of the body; on routes without a key also the URI.
func (q *request) fingerprint() (ibisidempotency.Fingerprint, *ibiscaller.Refusal) {
	start, refusal := q.body.peek(fingerprintBytes)
	if refusal != nil {
		return ibisidempotency.Fingerprint{}, refusal
	}
	hash := xxh3.New()
	_, _ = fmt.Fprintf(hash, "%s\x00%s\x00%s\x00%d\x00", q.http.Method, q.match.RouteName, q.match.Key, q.body.length)
	if !q.match.HasKey {
		_, _ = io.WriteString(hash, q.http.URL.RequestURI()+"\x00")
	}
	_, _ = hash.Write(start)
	return ibisidempotency.Fingerprint(hash.Sum128().Bytes()), nil
}

// storedHeaders returns the headers of an answer that are stored for repeats.
func storedHeaders(header http.Header) []ibisidempotency.Header {
	var stored []ibisidempotency.Header
	for _, name := range []string{"Content-Type", "Location", "Etag"} {
		for _, value := range header.Values(name) {
			stored = append(stored, ibisidempotency.Header{
				Name:  name,
				Value: value,
			})
		}
	}
	return stored
}
