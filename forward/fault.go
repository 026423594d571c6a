package forward

import "fmt"

// Fault is a kind of failure of one exchange with an agent.
type Fault string

// The faults of an exchange. After FaultNotSent and FaultExhausted the agent has received nothing; all others leave the
// outcome open.
const (
	FaultExhausted Fault = "exhausted"
	FaultNotSent   Fault = "not_sent"
	FaultSilent    Fault = "silent"
	FaultBroken    Fault = "broken"
	FaultMalformed Fault = "malformed"
	FaultMixedUp   Fault = "mixed_up"
	FaultTruncated Fault = "truncated"
	FaultChecksum  Fault = "checksum"
	FaultOversized Fault = "oversized"
	FaultCancelled Fault = "cancelled"
)

// AttemptError reports a failed exchange.
type AttemptError struct {
	Kind  Fault
	Cause error
}

// Error returns the kind and the cause.
func (e *AttemptError) Error() string {
	if e.Cause == nil {
		return "forward: " + string(e.Kind)
	}
	return fmt.Sprintf("forward: %s: %v", e.Kind, e.Cause)
}

// Unwrap returns the cause.
func (e *AttemptError) Unwrap() error { return e.Cause }
