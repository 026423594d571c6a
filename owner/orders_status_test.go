package owner

import (
	"net/http"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/rpc"
	"github.com/quetzalshed/quetzalshed/rpc/rpctest"
	"github.com/quetzalshed/quetzalshed/workflow"
	"github.com/quetzalshed/quetzalshed/workflow/engine"
)

// Guards against starts whose result is never known because an error response counts as a reply without results.
func TestErrorResponseIsNoReplyToOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := rpctest.New()
		network.Handle("node", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			rpc.WriteJSON(w, http.StatusBadRequest, struct{}{})
		}))
		orders := &engine.NodeOrders{Node: "node", Address: "node", Orders: workflow.Orders{Starts: []workflow.StartOrder{{Run: 1}}}}
		_, err := newTerm(t, network).sendOrders(t.Context(), orders)
		qt.Assert(t, err, qt.IsNotNil)
	})
}
