package ownership

import (
	"context"
	"encoding/json"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/quetzalshed/quetzalshed/kv"
	"github.com/quetzalshed/quetzalshed/workflow"
)

// registerRetryDelay is the pause between attempts to store the address.
const registerRetryDelay = 500 * time.Millisecond

// Register stores the address of a process, so that new owners can announce themselves to it. It retries until ctx ends.
func Register(ctx context.Context, store kv.Store, name, address string, log hclog.Logger) {
	value, err := json.Marshal(workflow.OwnerRecord{Node: name, Address: address})
	if err != nil {
		log.Error("process address not stored", "error", err)
		return
	}
	for ctx.Err() == nil {
		_, err := store.Commit(ctx, kv.Transaction{Puts: []kv.Put{{Key: NodePrefix + name, Value: value}}})
		if err == nil {
			return
		}
		log.Debug("process address not stored, retrying", "error", err)
		select {
		case <-ctx.Done():
		case <-time.After(registerRetryDelay):
		}
	}
}
