package ibisdocsync

import (
	"context"
	"fmt"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/document/ibisdoc"
	"github.com/ibisridge/ibisridge/internal/document/ibisrollout"
	"github.com/ibisridge/ibisridge/internal/document/ibissection"
	"github.com/ibisridge/ibisridge/internal/peer/ibismember"
)

const serviceName = "Document"

// None is the argument or reply of a control call that has none.
type None struct{}

// HintArgs reports which version a node has in force.
type HintArgs struct {
	// From is the reporting node.
	From ibisid.NodeName
	// Version is the version in force on it.
	Version ibissection.Version
}

// ReportArgs reports to a parent which revisions the nodes below it have in force.
type ReportArgs struct {
	// From is the reporting child.
	From ibisid.NodeName
	// Report covers the child and the nodes below it.
	Report ibisrollout.Report
	// Version is the version in force on the child itself.
	Version ibissection.Version
}

// RecordsArgs requests the changes after a version.
type RecordsArgs struct {
	// After is the version that the requesting node has.
	After ibissection.Version
}

// RecordsReply holds the changes, oldest first.
type RecordsReply struct {
	// Records are the changes.
	Records []ibissection.Record
}

// SnapshotReply holds a complete document.
type SnapshotReply struct {
	// Version is the version of the document.
	Version ibissection.Version
	// Sections is the content of the document.
	Sections ibisdoc.Sections
}

// ConfirmReply is a watcher's report on its failure domain.
type ConfirmReply struct {
	// Revision is the revision in force on the watcher.
	Revision ibisid.Revision
	// Report summarizes the revisions in force on the nodes of the failure domain.
	Report ibisrollout.Report
}

// Service implements the control calls (net/rpc) about the document.
type Service struct{ replicator *Replicator }

// Register registers the replicator's control calls at the server.
func (r *Replicator) Register(server *ibismember.Server) { server.Register(serviceName, r.Service()) }

// Service returns the implementation of the control calls.
func (r *Replicator) Service() *Service {
	return &Service{
		replicator: r,
	}
}

// Hint applies another node's report of the version it has in force; it returns nil.
func (s *Service) Hint(args *HintArgs, _ *None) error {
	s.replicator.update(ibisrollout.HintEvent{
		From:    args.From,
		Version: args.Version,
	})
	return nil
}

// Report applies a child's report and replies with this node's own version, so that each node gets the version of the
// other; it returns nil.
func (s *Service) Report(args *ReportArgs, reply *HintArgs) error {
	s.replicator.update(ibisrollout.ReportEvent{
		From:   args.From,
		Report: args.Report,
	})
	s.replicator.update(ibisrollout.HintEvent{
		From:    args.From,
		Version: args.Version,
	})
	reply.From = s.replicator.self.Name
	reply.Version = s.replicator.inForce()
	return nil
}

// Records replies with the changes after a version; it fails if this node does not have them all any more.
func (s *Service) Records(args *RecordsArgs, reply *RecordsReply) error {
	s.replicator.mu.Lock()
	defer s.replicator.mu.Unlock()
	records, ok := s.replicator.core.RecordsAfter(args.After)
	if !ok {
		return fmt.Errorf("records after %s are not kept here", args.After)
	}
	reply.Records = records
	return nil
}

// Snapshot replies with the complete document in force; it fails if there is none.
func (s *Service) Snapshot(_ *None, reply *SnapshotReply) error {
	s.replicator.mu.Lock()
	defer s.replicator.mu.Unlock()
	reply.Version = s.replicator.core.InForce()
	reply.Sections = s.replicator.sections
	if reply.Version == "" {
		return fmt.Errorf("no document is in force here")
	}
	return nil
}

// Confirm replies with the revision in force on this node and its report on the nodes below it, which are all nodes of the
// failure domain if this node is the watcher; it returns nil.
func (s *Service) Confirm(_ *None, reply *ConfirmReply) error {
	s.replicator.mu.Lock()
	defer s.replicator.mu.Unlock()
	reply.Revision = s.replicator.core.InForce().Revision()
	reply.Report = s.replicator.core.Report()
	return nil
}

// call makes a control call to a node by its name; it fails if the node's address is unknown.
func (r *Replicator) call(ctx context.Context, to ibisid.NodeName, method string, args, reply any) error {
	r.mu.Lock()
	address, ok := r.addresses[to]
	r.mu.Unlock()
	if !ok {
		return fmt.Errorf("control call %s: no address known for node %s", method, to)
	}
	return r.callAt(ctx, address, method, args, reply)
}

func (r *Replicator) callAt(ctx context.Context, address, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return r.caller.Call(ctx, address, serviceName+"."+method, args, reply)
}
