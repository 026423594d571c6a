package owner

import (
	"context"
	"encoding/json"
	"time"

	"github.com/quetzalshed/quetzalshed/kv"
)

// handOverTimeout limits the last write of a term. The next owner can take over only afterwards.
const handOverTimeout = 500 * time.Millisecond

// inheritLeases passes on to the engine what the former owner has stored of the executors' leases. It is part of the former
// owner's last write, and the ownership was acquired on condition that none has followed.
func (t *term) inheritLeases() {
	var former commitMark
	if err := json.Unmarshal(t.lease.Former, &former); err != nil || former.Leases == nil {
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
	leases := t.engine.FinalLeases(t.clock.Now())
	t.leases = &leases
	err := t.write(ctx, kv.Transaction{})
	t.log.Info("leases handed over", "epoch", t.lease.Record.Epoch, "executors", len(leases.Executors), "stored", err == nil)
}
