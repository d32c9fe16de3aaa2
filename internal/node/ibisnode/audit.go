package ibisnode

import (
	"go.uber.org/zap"

	"github.com/ibisridge/ibisridge/internal/document/ibissection"
)

// auditor logs each change of the document that operators request, with its outcome but without its content or the token.
type auditor struct{ log *zap.Logger }

// Audit logs one change.
func (a auditor) Audit(e ibissection.AuditEvent) {
	a.log.Info("document change requested",
		zap.String("team", string(e.Team)),
		zap.String("change", e.ChangeID),
		zap.Any("sections", e.Sections),
		zap.String("status", string(e.Status)),
		zap.Uint64("revision", uint64(e.Revision)),
		zap.String("reason", e.Reason))
}
