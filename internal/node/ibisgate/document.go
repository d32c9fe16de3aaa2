package ibisgate

import (
	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/document/ibisdoc"
	"github.com/ibisridge/ibisridge/internal/request/ibisadmit"
)

// SetDocument applies a new revision of the document. A changed concurrency limit or cold start time of the service takes
// effect only if no request is running or waiting; otherwise it applies from the next restart of the gate.
func (g *Gate) SetDocument(doc *ibisdoc.Document) {
	policy := policyOf(doc)
	g.mu.Lock()
	defer g.mu.Unlock()
	service, _ := doc.Service(g.announcement.Service)
	resized := service.Concurrency != g.service.Concurrency || service.ColdStart != g.service.ColdStart
	g.service = service
	g.policy = policy
	switch {
	case g.core == nil:
	case resized && g.core.Running() == 0 && g.core.Waiting() == 0:
		g.restart(false)
	default:
		g.apply(ibisadmit.PolicyEvent{
			Policy: policy,
		})
	}
}

// policyOf returns the admission policy for the classes and tenants of the document.
func policyOf(doc *ibisdoc.Document) ibisadmit.Policy {
	content := doc.Content()
	policy := ibisadmit.Policy{
		Classes: make(map[ibisid.ClassName]ibisadmit.ClassPolicy, len(content.Classes)),
		Tenants: make(map[ibisid.TenantName]ibisadmit.TenantPolicy, len(content.Tenants)),
	}
	for name := range content.Classes {
		class := doc.Class(name)
		policy.Classes[name] = ibisadmit.ClassPolicy{
			Priority:    class.Priority,
			Share:       class.Share,
			QueueLength: class.QueueLength,
		}
	}
	for name, tenant := range content.Tenants {
		policy.Tenants[name] = ibisadmit.TenantPolicy{
			Weight: tenant.Weight,
			Rate:   tenant.Rate,
		}
	}
	return policy
}
