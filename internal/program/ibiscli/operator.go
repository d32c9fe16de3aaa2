package ibiscli

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/ibisridge/ibisridge/internal/peer/ibisoperator"
)

// operatorFlags say which node is asked, and as whom.
type operatorFlags struct {
	Node    string        `arg:"--node,env:IBISRIDGE_OPERATORS" default:"http://127.0.0.1:8082" placeholder:"URL" help:"operators' address of any node"`
	Token   string        `arg:"--token,env:IBISRIDGE_TOKEN" placeholder:"TOKEN" help:"team token; better passed by the environment"`
	Timeout time.Duration `arg:"--timeout" default:"10s" help:"how long the node may take"`
}

func (f operatorFlags) client() *ibisoperator.Client {
	return ibisoperator.NewClient(f.Node, f.Token, &http.Client{
		Timeout: f.Timeout,
	})
}

// operatorError gives an error of a node the exit code that fits.
func operatorError(err error) error {
	switch {
	case errors.Is(err, ibisoperator.ErrUnavailable):
		return fmt.Errorf("%w: %w", errUnavailable, err)
	case errors.Is(err, ibisoperator.ErrUnauthorized), errors.Is(err, ibisoperator.ErrNotFound),
		errors.Is(err, ibisoperator.ErrBadRequest):
		return fmt.Errorf("%w: %w", errRefused, err)
	}
	return err
}
