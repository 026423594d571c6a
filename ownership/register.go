package ownership

import (
	"context"
	"encoding/json"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/quetzalshed/quetzalshed/kv"
	"github.com/quetzalshed/quetzalshed/workflow"
)

// registerRetryDelay is the pause between attempts to store an address.
const registerRetryDelay = 500 * time.Millisecond

// Register stores the address of a process, so that new owners can announce themselves to it.
func Register(ctx context.Context, store kv.Store, name, address string, log hclog.Logger) {
	value, err := json.Marshal(workflow.OwnerRecord{Node: name, Address: address})
	if err != nil {
		log.Error("address not stored", "error", err)
		return
	}
	for ctx.Err() == nil {
		_, err := store.Commit(ctx, kv.Transaction{Puts: []kv.Put{{Key: NodePrefix + name, Value: value}}})
		if err == nil {
			return
		}
		log.Debug("address not stored yet", "error", err)
		select {
		case <-ctx.Done():
		case <-time.After(registerRetryDelay):
		}
	}
}
