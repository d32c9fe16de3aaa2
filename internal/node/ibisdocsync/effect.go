package ibisdocsync

import (
	"context"
	"slices"

	"go.uber.org/zap"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/document/ibisrollout"
	"github.com/ibisridge/ibisridge/internal/document/ibissection"
)

// maxFetchedRecords limits the changes that are fetched at once; a node that is further behind fetches the whole document.
const maxFetchedRecords = 200

func (r *Replicator) runEffect(ctx context.Context, effect ibisrollout.Effect) {
	switch e := effect.(type) {
	case ibisrollout.ReadHeadEffect:
		r.readHead(ctx)
	case ibisrollout.HintEffect:
		for _, to := range e.To {
			r.hint(ctx, to, e.Version)
		}
	case ibisrollout.ReportEffect:
		r.report(ctx, e)
	case ibisrollout.FetchRecordsEffect:
		r.fetchRecords(ctx, e)
	case ibisrollout.FetchSnapshotEffect:
		r.fetchSnapshot(ctx, e)
	case ibisrollout.ApplyRecordsEffect:
		r.applyRecords(e)
	case ibisrollout.ApplySnapshotEffect:
		r.applySnapshot(e)
	}
}

func (r *Replicator) readHead(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	head, err := r.store.Head(ctx)
	if err != nil {
		r.log.Debug("failed to read the document's head from the platform's table", zap.Error(err))
		r.update(ibisrollout.HeadFailedEvent{})
		return
	}
	r.update(ibisrollout.HeadEvent{
		Version: head.Version,
	})
}

func (r *Replicator) hint(ctx context.Context, to ibisid.NodeName, version ibissection.Version) {
	args := HintArgs{
		From:    r.self.Name,
		Version: version,
	}
	if err := r.call(ctx, to, "Hint", &args, &None{}); err != nil {
		r.log.Debug("failed to send the version in force to a node", zap.String("to", string(to)), zap.Error(err))
	}
}

func (r *Replicator) report(ctx context.Context, e ibisrollout.ReportEffect) {
	args := ReportArgs{
		From:    r.self.Name,
		Report:  e.Report,
		Version: r.inForce(),
	}
	var reply HintArgs
	if err := r.call(ctx, e.To, "Report", &args, &reply); err != nil {
		r.log.Debug("failed to send the report to the parent", zap.String("to", string(e.To)), zap.Error(err))
		return
	}
	r.update(ibisrollout.HintEvent{
		From:    reply.From,
		Version: reply.Version,
	})
}

func (r *Replicator) fetchRecords(ctx context.Context, e ibisrollout.FetchRecordsEffect) {
	records, err := r.recordsOf(ctx, e)
	if err != nil {
		r.log.Debug("failed to fetch changes of the document from the peer, or from the platform's table if the peer is empty", zap.String("peer", string(e.Source.Peer)), zap.Error(err))
		r.update(ibisrollout.FetchFailedEvent{
			Source: e.Source,
		})
		return
	}
	r.update(ibisrollout.RecordsEvent{
		Source:  e.Source,
		Records: records,
	})
}

func (r *Replicator) recordsOf(ctx context.Context, e ibisrollout.FetchRecordsEffect) ([]ibissection.Record, error) {
	if e.Source.Peer == "" {
		ctx, cancel := context.WithTimeout(ctx, tableTimeout)
		defer cancel()
		records, err := r.store.Since(ctx, e.To, e.After, maxFetchedRecords)
		slices.Reverse(records) // Since returns the last change first.
		return records, err
	}
	args := RecordsArgs{
		After: e.After,
	}
	var reply RecordsReply
	err := r.call(ctx, e.Source.Peer, "Records", &args, &reply)
	return reply.Records, err
}

func (r *Replicator) fetchSnapshot(ctx context.Context, e ibisrollout.FetchSnapshotEffect) {
	event, err := r.snapshotOf(ctx, e)
	if err != nil {
		r.log.Debug("failed to fetch the whole document from the peer, or from the platform's table if the peer is empty", zap.String("peer", string(e.Source.Peer)), zap.Error(err))
		r.update(ibisrollout.FetchFailedEvent{
			Source: e.Source,
		})
		return
	}
	r.update(event)
}

func (r *Replicator) snapshotOf(ctx context.Context, e ibisrollout.FetchSnapshotEffect) (ibisrollout.SnapshotEvent, error) {
	event := ibisrollout.SnapshotEvent{
		Source: e.Source,
	}
	if e.Source.Peer == "" {
		ctx, cancel := context.WithTimeout(ctx, tableTimeout)
		defer cancel()
		snapshot, err := r.store.Load(ctx)
		if err != nil {
			return event, err
		}
		event.Version = snapshot.Head().Version
		event.Sections = snapshot.Sections()
		return event, nil
	}
	var reply SnapshotReply
	err := r.call(ctx, e.Source.Peer, "Snapshot", &None{}, &reply)
	event.Version = reply.Version
	event.Sections = reply.Sections
	return event, err
}

func (r *Replicator) inForce() ibissection.Version {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.InForce()
}
