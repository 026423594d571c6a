package forward

import "fmt"

// Fault classifies the failure of an exchange with an agent.
type Fault string

// Faults of an exchange. FaultNotSent and FaultPoolExhausted guarantee that the agent has received nothing. After any
// other fault the attempt may have run.
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

// ExchangeError is the error of a failed exchange with an agent.
type ExchangeError struct {
	Kind  Fault
	Cause error
}

// Error implements error.
func (e *ExchangeError) Error() string {
	if e.Cause == nil {
		return "forward: " + string(e.Kind)
	}
	return fmt.Sprintf("forward: %s: %v", e.Kind, e.Cause)
}

// Unwrap returns the cause.
func (e *ExchangeError) Unwrap() error { return e.Cause }
