package requests

import (
	"fmt"

	"github.com/quetzalshed/quetzalshed/structs"
)

// state is the life cycle of one attempt at one agent.
type state uint8

// The states of an attempt. An attempt without a record is neverSeen, or forgotten when the table dropped its record.
const (
	neverSeen state = iota
	// tombstoned: an entry was told that the attempt hasn't run; it's rejected when it arrives.
	tombstoned
	// refused: the attempt arrived and was rejected before anything was sent to the upstream.
	refused
	queued
	// cancelled: the attempt was withdrawn before anything was sent to the upstream.
	cancelled
	// running: the send to the upstream may have begun.
	running
	// finished: the whole response is retained.
	finished
	// evicted: the attempt may have run and no response is retained.
	evicted
	// forgotten: the table dropped the record, so nothing is known.
	forgotten
	stateCount
)

var stateNames = [stateCount]string{
	"never seen", "tombstoned", "refused", "queued", "cancelled", "running", "finished", "evicted", "forgotten",
}

func (s state) String() string { return stateNames[s] }

// event is what happens to an attempt.
type event uint8

// The events of an attempt.
const (
	// arrive: the request of the attempt was read whole.
	arrive event = iota
	// refuse: admission rejected the attempt.
	refuse
	// resolve: an entry asked what became of the attempt.
	resolve
	// withdraw: the entry's connection broke while the attempt waited.
	withdraw
	// begin: the next step is to send to the upstream.
	begin
	// answer: the upstream's response was read whole.
	answer
	// lose: no whole response can be had from the upstream.
	lose
	// evict: the response was dropped because of its age or a bound.
	evict
	// forget: the record was dropped because of the bound of the table.
	forget
	eventCount
)

var eventNames = [eventCount]string{
	"arrive", "refuse", "resolve", "withdraw", "begin", "answer", "lose", "evict", "forget",
}

func (e event) String() string { return eventNames[e] }

// transitions lists the allowed transitions; all others are errors. Only queued leads to running, and nothing leads from
// running, finished, evicted or forgotten to a state that means not run.
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

// transitionError reports an event that isn't allowed in the state of an attempt.
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

// terminal tells whether the attempt needs no more work of the agent.
func (s state) terminal() bool { return s != neverSeen && s != queued && s != running }

// notRun tells whether nothing was and will be sent to the upstream.
func (s state) notRun() bool { return s == tombstoned || s == refused || s == cancelled }

// attemptState returns the state as entries see it.
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
