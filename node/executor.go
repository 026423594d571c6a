package node

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/quetzalshed/quetzalshed/workflow"
)

// Errors of an executor. Any other error means that the effect of the call is unknown.
var (
	// ErrOtherIncarnation means that the call reached another incarnation and had no effect.
	ErrOtherIncarnation = errors.New("node: another incarnation of the executor")
	// ErrNotDelivered means that the call certainly had no effect.
	ErrNotDelivered = errors.New("node: executor not reached")
	// ErrRefused is an ErrNotDelivered that shows that no executor runs at its address.
	ErrRefused = fmt.Errorf("%w: connection refused", ErrNotDelivered)
)

// OtherIncarnationError is an ErrOtherIncarnation that tells which incarnation the call has reached.
type OtherIncarnationError struct{ StartedUnixMillis int64 }

func (e *OtherIncarnationError) Error() string {
	return fmt.Sprintf("%v, started at %d", ErrOtherIncarnation, e.StartedUnixMillis)
}

// Is reports whether target is ErrOtherIncarnation.
func (e *OtherIncarnationError) Is(target error) bool { return target == ErrOtherIncarnation }

// RejectedError means that the executor rejected a call, which had no effect.
type RejectedError struct{ Reason string }

func (e *RejectedError) Error() string { return "node: executor rejected the call: " + e.Reason }

// Start is the order to start a run.
type Start struct {
	Task, Spec, Checkpoint, Ticket string
	Run                            int
	Fence                          int64
	// DeadlineMillis is the end of the lease of all runs on the executor, in milliseconds of the executor's clock.
	DeadlineMillis int64
	// Refusal returns the reason for which the start may not be sent any more, and empty as long as it may. An Executor that keeps
	// starts back calls it right before it sends one. It is nil if nothing forbids the start.
	Refusal func() string
	// Answered receives the reading of the executor's clock in its answer, whether it accepts the start or not. It is nil if nobody asks.
	Answered func(clockMillis int64)
}

// RunLists holds the running and ended runs that an executor lists.
type RunLists struct {
	// ClockMillis is the reading of the executor's clock.
	ClockMillis int64
	// StartedUnixMillis is the start time of the incarnation that responded, or 0 if the response did not contain it.
	StartedUnixMillis int64
	Running           []workflow.RunState
	Ended             []workflow.RunEnd
	// EndsComplete is set if the executor certainly has no further ends that are not acknowledged. Otherwise it lists the next
	// ones once the first are acknowledged.
	EndsComplete bool
}

// Executor is the interface to the executor on the host of the node.
type Executor interface {
	// Start starts a run. Repeating a call for a run that exists has no effect.
	Start(ctx context.Context, incarnation string, s Start) error
	// Stop ends a run, or prevents it from starting later.
	Stop(ctx context.Context, incarnation, task string, run int, fence int64) error
	// SetPace limits a run to a percentage of its full speed.
	SetPace(ctx context.Context, incarnation, task string, run, percent int, fence int64) error
	// Hold acknowledges ends up to ack, extends the lease of the runs to deadlineMillis (0 leaves it unchanged), and waits for a
	// run to end.
	Hold(ctx context.Context, incarnation string, fence, ack, deadlineMillis int64, wait time.Duration) (*RunLists, error)
	// Connect opens and closes a connection to whichever incarnation runs on the host, without any effect on it.
	Connect(ctx context.Context) error
}

// rejectionReason returns the reason of a call that certainly had no effect, and false if the effect is unknown.
func rejectionReason(err error) (string, bool) {
	var rejected *RejectedError
	if errors.As(err, &rejected) {
		return rejected.Reason, true
	}
	if errors.Is(err, ErrOtherIncarnation) {
		return reasonOtherIncarnation, true
	}
	if errors.Is(err, ErrNotDelivered) {
		return workflow.ReasonUnreachable, true
	}
	return "", false
}

// isBroken reports whether a call failed because its connection was broken or refused.
func isBroken(err error) bool {
	reason, rejected := rejectionReason(err)
	return err != nil && !errors.Is(err, errInconclusive) && (!rejected || reason == workflow.ReasonUnreachable)
}
