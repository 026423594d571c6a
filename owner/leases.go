package owner

import (
	"context"
	"encoding/json"
	"time"

	"github.com/quetzalshed/quetzalshed/kv"
)

const (
	// handOverTimeout limits the last write of a term. The next owner can take over only afterwards.
	handOverTimeout = 500 * time.Millisecond
	// formerLeaseTimeout limits the question whether the former owner's lease has ended.
	formerLeaseTimeout = 500 * time.Millisecond
	// clockSlack is how much longer than in the store the lease of an owner may last by its own clock.
	clockSlack = 100 * time.Millisecond
)

// parseFormer reads the last write of the former owner. The ownership was acquired on condition that none has followed.
func parseFormer(value []byte) (former commitMark, found bool) {
	if len(value) == 0 {
		return commitMark{}, false
	}
	// A value that can't be read leaves all unknown.
	_ = json.Unmarshal(value, &former)
	return former, true
}

// slackAfter returns how long former owners may still renew leases after this takeover. An owner renews leases only while its own
// lease is valid. So the former owner renews none once its lease has ended in the store, whether it has expired, was released or was
// revoked by the next process of its host; clocks may differ in speed by a little. If only its key was deleted, it may go on.
func (t *term) slackAfter(ctx context.Context, former commitMark, found bool) time.Duration {
	if !found {
		return 0
	}
	if !former.Settled || former.LeaseID == 0 {
		return takeoverSlack
	}
	ctx, cancel := context.WithTimeout(ctx, formerLeaseTimeout)
	defer cancel()
	if !t.lease.HasEnded(ctx, former.LeaseID) {
		return takeoverSlack
	}
	return clockSlack
}

// inheritLeases passes on to the engine what the former owner has stored of the executors' leases.
func (t *term) inheritLeases(former commitMark) {
	if former.Leases == nil {
		return
	}
	t.engine.InheritLeases(former.Leases, t.lease.FormerReadAt)
	t.log.Info("leases of the former owner read", "epoch", t.lease.Record.Epoch, "former_epoch", former.Epoch,
		"executors", len(former.Leases.Executors), "others_ms", former.Leases.OthersMillis)
}

// handOver stores how long the executors may still hold their leases, for the next owner. It is called once the loop has ended,
// after which this owner renews none.
func (t *term) handOver() {
	ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
	defer cancel()
	if t.committing != nil {
		// The write under way was cancelled with the term, and may have been applied.
		select {
		case <-t.commitDone:
		case <-ctx.Done():
			return
		}
	}
	leases := t.engine.FinalLeases(time.Now())
	t.leases = &leases
	err := t.write(ctx, kv.Transaction{})
	t.log.Info("leases handed over", "epoch", t.lease.Record.Epoch, "executors", len(leases.Executors), "stored", err == nil && ctx.Err() == nil)
}
