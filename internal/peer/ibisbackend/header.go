package ibisbackend

import (
	"net/http"
	"net/textproto"
	"strings"
)

// HeaderPrefix is the prefix of the headers that only a node may set; they are removed from the requests of callers.
const HeaderPrefix = "X-Ibis-"

const (
	// HeaderSlot carries the slot that the node owns, as SPACE/INDEX.
	HeaderSlot = "X-Ibis-Slot"
	// HeaderToken carries the fencing token of the slot in decimal.
	HeaderToken = "X-Ibis-Token"
	// HeaderLeaseEnd carries the end of the node's lease in Unix milliseconds on the clock of the instance, which the node and
	// the backend server share.
	HeaderLeaseEnd = "X-Ibis-Until"
	// HeaderDeadline carries the deadline of the request in Unix milliseconds on the same clock.
	HeaderDeadline = "X-Ibis-Deadline"
	// HeaderKey carries the canonical key of the request.
	HeaderKey = "X-Ibis-Key"
	// HeaderNotRun is set to "true" by a backend server that rejects a request before it begins to run it.
	HeaderNotRun = "X-Ibis-Not-Run"
	// HeaderRateLimit is the number of requests per second, in decimal, that a backend server takes from all nodes together, as long as
	// its answers name it.
	HeaderRateLimit = "X-Ibis-Rate-Limit"
	// HeaderTypical carries what a node's gate has learnt of the latency of the request's class, between nodes only.
	HeaderTypical = "X-Ibis-Typical"
	// HeaderIdempotencyKey carries the idempotency key that the caller chose; repeats of a request have the same key.
	HeaderIdempotencyKey = "Idempotency-Key"
)

var hopByHop = []string{
	"Connection",
	"Keep-Alive",
	"Proxy-Authenticate",
	"Proxy-Authorization",
	"Proxy-Connection",
	"Te",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
}

// EndToEndHeaders returns a copy of the headers without the hop-by-hop headers and those with HeaderPrefix.
func EndToEndHeaders(header http.Header) http.Header {
	out := header.Clone()
	if out == nil {
		return http.Header{}
	}
	for _, list := range header.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
	for name := range out {
		if strings.HasPrefix(name, HeaderPrefix) {
			out.Del(name)
		}
	}
	return out
}
