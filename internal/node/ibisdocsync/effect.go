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

func (k *Replicator) runEffect(ctx context.Context, effect ibisrollout.Effect) {
	switch e := effect.(type) {
	case ibisrollout.ReadHeadEffect:
		k.readHead(ctx)
	case ibisrollout.HintEffect:
		for _, to := range e.To {
			k.hint(ctx, to, e.Version)
		}
	case ibisrollout.ReportEffect:
		k.report(ctx, e)
	case ibisrollout.FetchRecordsEffect:
		k.fetchRecords(ctx, e)
	case ibisrollout.FetchSnapshotEffect:
		k.fetchSnapshot(ctx, e)
	case ibisrollout.ApplyRecordsEffect:
		k.applyRecords(e)
	case ibisrollout.ApplySnapshotEffect:
		k.applySnapshot(e)
	}
}

func (k *Replicator) readHead(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	head, err := k.store.Head(ctx)
	if err != nil {
		k.log.Debug("failed to read the document's head from the platform's table", zap.Error(err))
		k.update(ibisrollout.HeadFailedEvent{})
		return
	}
	k.update(ibisrollout.HeadEvent{
		Version: head.Version,
	})
}

func (k *Replicator) hint(ctx context.Context, to ibisid.NodeName, version ibissection.Version) {
	args := HintArgs{
		From:    k.self.Name,
		Version: version,
	}
	if err := k.call(ctx, to, "Hint", &args, &None{}); err != nil {
		k.log.Debug("failed to send the version in force to a node", zap.String("to", string(to)), zap.Error(err))
	}
}

func (k *Replicator) report(ctx context.Context, e ibisrollout.ReportEffect) {
	args := ReportArgs{
		From:    k.self.Name,
		Report:  e.Report,
		Version: k.inForce(),
	}
	var reply HintArgs
	if err := k.call(ctx, e.To, "Report", &args, &reply); err != nil {
		k.log.Debug("failed to send the report to the parent", zap.String("to", string(e.To)), zap.Error(err))
		return
	}
	k.update(ibisrollout.HintEvent{
		From:    reply.From,
		Version: reply.Version,
	})
}

func (k *Replicator) fetchRecords(ctx context.Context, e ibisrollout.FetchRecordsEffect) {
	records, err := k.recordsOf(ctx, e)
	if err != nil {
		k.log.Debug("failed to fetch changes of the document from the peer, or from the platform's table if the peer is empty", zap.String("peer", string(e.Source.Peer)), zap.Error(err))
		k.update(ibisrollout.FetchFailedEvent{
			Source: e.Source,
		})
		return
	}
	k.update(ibisrollout.RecordsEvent{
		Source:  e.Source,
		Records: records,
	})
}

func (k *Replicator) recordsOf(ctx context.Context, e ibisrollout.FetchRecordsEffect) ([]ibissection.Record, error) {
	if e.Source.Peer == "" {
		ctx, cancel := context.WithTimeout(ctx, tableTimeout)
		defer cancel()
		records, err := k.store.Since(ctx, e.To, e.After, maxFetchedRecords)
		slices.Reverse(records) // Since returns the last change first.
		return records, err
	}
	args := RecordsArgs{
		After: e.After,
	}
	var reply RecordsReply
	err := k.call(ctx, e.Source.Peer, "Records", &args, &reply)
	return reply.Records, err
}

func (k *Replicator) fetchSnapshot(ctx context.Context, e ibisrollout.FetchSnapshotEffect) {
	event, err := k.snapshotOf(ctx, e)
	if err != nil {
		k.log.Debug("failed to fetch the whole document from the peer, or from the platform's table if the peer is empty", zap.String("peer", string(e.Source.Peer)), zap.Error(err))
		k.update(ibisrollout.FetchFailedEvent{
			Source: e.Source,
		})
		return
	}
	k.update(event)
}

func (k *Replicator) snapshotOf(ctx context.Context, e ibisrollout.FetchSnapshotEffect) (ibisrollout.SnapshotEvent, error) {
	event := ibisrollout.SnapshotEvent{
		Source: e.Source,
	}
	if e.Source.Peer == "" {
		ctx, cancel := context.WithTimeout(ctx, tableTimeout)
		defer cancel()
		snapshot, err := k.store.Load(ctx)
		if err != nil {
			return event, err
		}
		event.Version = snapshot.Head().Version
		event.Sections = snapshot.Sections()
		return event, nil
	}
	var reply SnapshotReply
	err := k.call(ctx, e.Source.Peer, "Snapshot", &None{}, &reply)
	event.Version = reply.Version
	event.Sections = reply.Sections
	return event, err
}

func (k *Replicator) inForce() ibissection.Version {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.core.InForce()
}
