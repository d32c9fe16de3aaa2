package ibiscli

import (
	"context"
	"errors"
	"fmt"

	"github.com/ibisridge/ibisridge/internal/peer/ibisplatform"
)

// The exit codes of the program.
const (
	// ExitOK means that the command did what it was asked.
	ExitOK = 0
	// ExitFailed means that the command failed, or that what it checked is not valid.
	ExitFailed = 1
	// ExitUsage means that the command line or the settings were not understood.
	ExitUsage = 2
	// ExitRefused means that a node refused, such as a change that conflicts with another.
	ExitRefused = 3
	// ExitUnavailable means that a node or the platform could not be reached, and trying again may help.
	ExitUnavailable = 4
)

const exitHelp = `Exit codes: 0 ok, 1 failed or not valid, 2 usage or settings, 3 refused or conflict, 4 unavailable.`

var (
	errUsage       = errors.New("usage")
	errRefused     = errors.New("refused")
	errUnavailable = errors.New("unavailable")
)

func usageError(format string, args ...any) error {
	return fmt.Errorf("%w: %w", errUsage, fmt.Errorf(format, args...))
}

func exitCode(err error) int {
	switch {
	case err == nil, errors.Is(err, context.Canceled):
		return ExitOK
	case errors.Is(err, errUsage):
		return ExitUsage
	case errors.Is(err, errRefused):
		return ExitRefused
	case errors.Is(err, errUnavailable), errors.Is(err, ibisplatform.ErrUnavailable):
		return ExitUnavailable
	}
	return ExitFailed
}
