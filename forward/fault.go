package forward

import "fmt"

// Fault is a kind of failure of one exchange with an agent.
type Fault string

// The faults of an exchange. After FaultNotSent and FaultPoolExhausted the agent has received nothing; all others leave the
// outcome open.
const (
	FaultPoolExhausted  Fault = "exhausted"
	FaultNotSent        Fault = "not_sent"
	FaultTimeout        Fault = "silent"
	FaultConnectionLost Fault = "broken"
	FaultMalformed      Fault = "malformed"
	FaultWrongResponse  Fault = "mixed_up"
	FaultTruncated      Fault = "truncated"
	FaultChecksum       Fault = "checksum"
	FaultOversized      Fault = "oversized"
	FaultCancelled      Fault = "cancelled"
)

// ExchangeError reports a failed exchange.
type ExchangeError struct {
	Kind  Fault
	Cause error
}

// Error returns the kind and the cause.
func (e *ExchangeError) Error() string {
	if e.Cause == nil {
		return "forward: " + string(e.Kind)
	}
	return fmt.Sprintf("forward: %s: %v", e.Kind, e.Cause)
}

// Unwrap returns the cause.
func (e *ExchangeError) Unwrap() error { return e.Cause }
