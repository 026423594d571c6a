package forwardtest

// Fault is a fault that is injected into one attempt.
type Fault int

// Faults. Those named Drop happen before the attempt is processed, so that it doesn't run.
const (
	NoFault Fault = iota
	// DropThenClose and DropThenStall discard the request and close the connection or leave it open without a response.
	DropThenClose
	DropThenStall
	// Reject responds that the attempt was not run.
	Reject
	// RunThenClose and RunThenStall run the attempt and then close the connection or leave it open without a response.
	RunThenClose
	RunThenStall
	// Truncate closes the connection in the middle of the body.
	Truncate
	// BadChecksum alters a byte of the body.
	BadChecksum
	// WrongAttempt sends the response to another attempt.
	WrongAttempt
	// Duplicate sends the response twice.
	Duplicate
	// NoLength sends a body without a Content-Length.
	NoLength
	// Oversized declares a body that exceeds the limit.
	Oversized
	// WrongLength declares a body that is shorter than the one sent.
	WrongLength
	// EndlessHeader sends 1 MiB of a header that doesn't end.
	EndlessHeader
	// QueueThenStall keeps the attempt queued and leaves the connection open without a response.
	QueueThenStall
	// RunOnRelease runs the attempt after ReleaseHeld was called.
	RunOnRelease
	// RunWithoutRetaining runs the attempt, closes the connection and discards the response.
	RunWithoutRetaining
	// InvalidStatus sends the response with status 42.
	InvalidStatus
	endOfFaults
)

// FaultCount is the number of faults.
const FaultCount = int(endOfFaults)

// ScriptFaults sets the faults of the next attempts; later ones have none.
func (a *Agent) ScriptFaults(script ...Fault) {
	a.mu.Lock()
	defer a.mu.Unlock()
	first := a.nextIndex
	a.FaultFor = func(n int) Fault {
		if n-first < len(script) {
			return script[n-first]
		}
		return NoFault
	}
}

// SilenceOpenConnections makes the agent ignore all requests on the connections that are open now. New ones work.
func (a *Agent) SilenceOpenConnections() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.silencedUpTo = a.connections
}

// DropResolves makes the agent close the connections of the next n resolves without a response.
func (a *Agent) DropResolves(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.resolvesToDrop = n
}

// ReleaseHeld lets the attempts with the fault RunOnRelease run.
func (a *Agent) ReleaseHeld() { close(a.released) }
