package ibiscli

import (
	"context"
	"fmt"

	"github.com/google/uuid"

	"github.com/ibisridge/ibisridge/internal/base/ibistimer"
	"github.com/ibisridge/ibisridge/internal/document/ibisdoc"
	"github.com/ibisridge/ibisridge/internal/document/ibissection"
	"github.com/ibisridge/ibisridge/internal/peer/ibisplatform"
)

// firstPlatform is the platform's table and object store.
type firstPlatform interface {
	ibisplatform.Table
	ibisplatform.ObjectStore
}

// putFirstDocument puts the first document into an empty platform; it fails with errRefused where one stands.
func putFirstDocument(ctx context.Context, p firstPlatform, sections ibisdoc.Sections) error {
	outcome := ibissection.New(p, p, ibistimer.New()).Init(ctx, uuid.NewString(), sections)
	switch outcome.Status {
	case ibissection.StatusApplied:
		return nil
	case ibissection.StatusUnavailable, ibissection.StatusUnknown:
		return fmt.Errorf("%w: %s", ibisplatform.ErrUnavailable, outcome.Reason)
	default:
		return fmt.Errorf("%w: %s: %s", errRefused, outcome.Status, outcome.Reason)
	}
}
