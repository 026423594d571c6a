package requests

import (
	"fmt"

	"github.com/quetzalshed/quetzalshed/structs"
)

// state is the state of one attempt at one agent.
type state uint8

// The states of an attempt. An attempt without a record is neverSeen, or forgotten if the table dropped its record.
const (
	neverSeen state = iota
	// tombstoned: the attempt was resolved before it arrived and reported as not run; it's rejected if it arrives later.
	tombstoned
	// refused: the attempt arrived and was rejected before anything was sent to the upstream.
	refused
	queued
	// cancelled: the attempt was withdrawn before anything was sent to the upstream.
	cancelled
	// running: sending to the upstream may have begun.
	running
	// finished: the complete response is retained.
	finished
	// evicted: the attempt may have run and no response is retained.
	evicted
	// forgotten: the table dropped the record, so the outcome is unknown.
	forgotten
	stateCount
)

var stateNames = [stateCount]string{
	"never seen", "tombstoned", "refused", "queued", "cancelled", "running", "finished", "evicted", "forgotten",
}

func (s state) String() string { return stateNames[s] }

// event is an event that may change the state of an attempt.
type event uint8

// The events of an attempt.
const (
	// arrive: the request of the attempt was read completely.
	arrive event = iota
	// refuse: admission rejected the attempt.
	refuse
	// resolve: an entry asked for the state of the attempt.
	resolve
	// withdraw: the entry disconnected while the attempt was queued.
	withdraw
	// begin: the request is about to be sent to the upstream.
	begin
	// answer: the upstream's response was read completely.
	answer
	// lose: no complete response was received from the upstream.
	lose
	// evict: the retained response was dropped because of its age or a limit.
	evict
	// forget: the record was dropped because of the table's limit.
	forget
	eventCount
)

var eventNames = [eventCount]string{
	"arrive", "refuse", "resolve", "withdraw", "begin", "answer", "lose", "evict", "forget",
}

func (e event) String() string { return eventNames[e] }

// transitions lists the allowed transitions; all others are errors. Only a queued attempt can become running, and an
// attempt that is running, finished, evicted or forgotten can't reach a state that is reported as not run.
var transitions = [stateCount]map[event]state{
	neverSeen:  {arrive: queued, refuse: refused, resolve: tombstoned},
	tombstoned: {resolve: tombstoned, forget: forgotten},
	refused:    {resolve: refused, forget: forgotten},
	queued:     {refuse: refused, resolve: cancelled, withdraw: cancelled, begin: running},
	cancelled:  {resolve: cancelled, forget: forgotten},
	running:    {resolve: running, answer: finished, lose: evicted},
	finished:   {resolve: finished, evict: evicted},
	evicted:    {resolve: evicted, forget: forgotten},
	forgotten:  {resolve: forgotten},
}

// transitionError is returned for an event that isn't allowed in the current state of an attempt.
type transitionError struct {
	from  state
	event event
}

func (e *transitionError) Error() string {
	return fmt.Sprintf("event %s is not allowed for an attempt that is %s", e.event, e.from)
}

// next returns the state after an event.
func (s state) next(e event) (state, error) {
	to, ok := transitions[s][e]
	if !ok {
		return s, &transitionError{from: s, event: e}
	}
	return to, nil
}

// terminal reports whether the agent has no more work to do for the attempt.
func (s state) terminal() bool { return s != neverSeen && s != queued && s != running }

// notRun reports whether the attempt was never sent to the upstream and never will be.
func (s state) notRun() bool { return s == tombstoned || s == refused || s == cancelled }

// attemptState returns the state that is reported to entries.
func (s state) attemptState() structs.AttemptState {
	switch s {
	case neverSeen, tombstoned:
		return structs.AttemptNeverSeen
	case refused:
		return structs.AttemptRefused
	case queued:
		return structs.AttemptQueued
	case cancelled:
		return structs.AttemptCancelled
	case running:
		return structs.AttemptRunning
	case finished:
		return structs.AttemptFinished
	default:
		return structs.AttemptUnknown
	}
}
