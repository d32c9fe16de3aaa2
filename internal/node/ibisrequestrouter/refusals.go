package ibisrequestrouter

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/node/ibisowner"
	"github.com/ibisridge/ibisridge/internal/peer/ibiscaller"
)

// readGrace is the time for which the rest of a request's body is still read after the request's deadline or its refusal.
const readGrace = time.Second

// refuse returns a refusal of a request that was not run.
func refuse(status int, code, detail string) *ibiscaller.Refusal {
	return &ibiscaller.Refusal{
		Status:  status,
		Outcome: ibisid.OutcomeNotRun,
		Code:    code,
		Detail:  detail,
	}
}

// busy returns a temporary refusal (status 503) of a request that was not run.
func busy(code, detail string, retryAfter time.Duration) *ibiscaller.Refusal {
	refusal := refuse(http.StatusServiceUnavailable, code, detail)
	refusal.RetryAfter = retryAfter
	return refusal
}

func unauthorized() *ibiscaller.Refusal {
	return refuse(http.StatusUnauthorized, "unauthorized", "the Authorization header must carry a client account's token as \"Bearer TOKEN\"")
}

func notReady(detail string) *ibiscaller.Refusal { return busy("notReady", detail, time.Second) }

// notOwner returns the refusal of a request whose slot this node does not own; it names the owner if err does.
func notOwner(err error) *ibiscaller.Refusal {
	refusal := busy("notOwner", "the node does not own the key at the moment", redirectRetryAfter)
	var notOwned *ibisowner.NotOwnerError
	if errors.As(err, &notOwned) {
		refusal.Owner = notOwned.Owner
	}
	return refusal
}

func formatLoad(load float64) string { return strconv.FormatFloat(load, 'f', 3, 64) }
