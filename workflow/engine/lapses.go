package engine

import (
	"time"
)

// Lapse is an executor incarnation whose lease has expired, with the number of tasks that had a run on it.
type Lapse struct {
	Incarnation string
	Tasks       int
	// Unconfirmed is the number of those tasks of which neither a result nor the lists of the incarnation have confirmed the start, and Moved
	// of those that had run on a former incarnation of the executor: the start may have been carried out without this owner's knowledge.
	Unconfirmed, Moved int
	Source             LeaseSource
	StaleLease         StaleLeaseState
	// Known is the time since this owner first heard of the incarnation, or UnknownAge if it has not or knows a later one by now. SameID is
	// set if the incarnation had then taken the place of another one with the same ID.
	Known  time.Duration
	SameID bool
}

// StaleLeaseState is what this owner knew of the stale lease of an incarnation.
type StaleLeaseState string

// States of a stale lease.
const (
	// StaleLeaseUnknown means that the node has not told this owner how long a stale lease can last, so that none is counted.
	StaleLeaseUnknown StaleLeaseState = "unknown"
	// StaleLeaseNone means that the incarnation has none.
	StaleLeaseNone StaleLeaseState = "none"
	// StaleLeaseCounted means that its end has been counted.
	StaleLeaseCounted StaleLeaseState = "counted"
)

func (s *staleLease) state() StaleLeaseState {
	switch {
	case !s.expires.IsZero():
		return StaleLeaseCounted
	case s.bounded:
		return StaleLeaseNone
	}
	return StaleLeaseUnknown
}

// describeLapse describes the lapse of an incarnation before its runs are released.
func (e *Engine) describeLapse(incarnation string, tasks []*task, source LeaseSource, now time.Time) Lapse {
	l := Lapse{Incarnation: incarnation, Tasks: len(tasks), Source: source, StaleLease: StaleLeaseUnknown, Known: UnknownAge}
	for _, t := range tasks {
		if !t.started {
			l.Unconfirmed++
		}
		if t.reassigned {
			l.Moved++
		}
	}
	if n := e.nodes[tasks[0].host]; n != nil && n.runsIncarnation(incarnation) {
		l.StaleLease, l.Known, l.SameID = n.staleLease.state(), now.Sub(n.replacedAt), n.replacedSameID
	}
	return l
}
