package node

import (
	"errors"
	"time"

	"github.com/quetzalshed/quetzalshed/workflow"
)

// successorTimeout is how long an announcement of another executor counts. Executors announce themselves at least as often.
const successorTimeout = 3 * time.Second

// successor is another executor than the current one that was announced at the host. It takes the place of the current one once
// that no longer responds: the announcement may come from another writer, or be late.
type successor struct {
	executor              workflow.Executor
	sequence, clockMillis int64
	at                    time.Time
}

// isReplacedBy reports whether an announcement of another incarnation replaces the current one at once. If not, it is kept in case
// that the current one doesn't respond. The caller holds mu.
func (n *Node) isReplacedBy(e *workflow.Executor, sequence, clockMillis int64) bool {
	newer := e.StartedUnixMillis >= n.current.StartedUnixMillis
	if newer && (e.ID == n.current.ID || !n.confirmed) {
		return true
	}
	if e.ID == n.current.ID || !newer && n.lists != nil {
		n.log.Info("announcement of a former executor ignored", "executor", e.IncarnationID(), "current", n.current.IncarnationID())
		return false
	}
	if n.successor == nil {
		n.log.Warn("another executor announced", "executor", e.IncarnationID(), "pool", e.Pool, "current", n.current.IncarnationID(), "responded", n.lists != nil)
	}
	n.successor = &successor{*e, sequence, clockMillis, n.clock.Now()}
	// It may be the executor that refuses connections at present.
	n.end.noteOtherResult()
	return false
}

// promoteSuccessor replaces the current incarnation, a call to which has failed, by the other executor that was announced, if any.
// An older one takes its place only if the call was answered by another executor. The caller holds mu.
func (n *Node) promoteSuccessor(err error) {
	s := n.successor
	if s == nil || n.current == nil || n.clock.Now().Sub(s.at) > successorTimeout {
		return
	}
	if s.executor.StartedUnixMillis < n.current.StartedUnixMillis && !errors.Is(err, ErrOtherIncarnation) {
		return
	}
	n.forgetIncarnation()
	n.announce(s.executor, s.sequence, s.clockMillis)
}
