package storetest

import (
	"context"
	"fmt"
	"time"

	"github.com/quetzalshed/quetzalshed/store"
)

// Faults are the faults that the store injects. The zero value is a healthy store.
type Faults struct {
	// Down makes all calls fail with ErrUnavailable.
	Down bool `json:"down"`
	// ReadsDown makes all reads fail with ErrUnavailable.
	ReadsDown bool `json:"reads_down"`
	// SlowMillis delays each call before it takes effect. A write takes effect even if its context has ended by then.
	SlowMillis int64 `json:"slow_millis"`
	// LoseResponses is the number of next writes that take effect and return ErrUnknownResult.
	LoseResponses int `json:"lose_responses"`
	// LoseRequests is the number of next writes that have no effect and return ErrUnknownResult.
	LoseRequests int `json:"lose_requests"`
	// HoldRequests is the number of next writes that return ErrUnknownResult and take effect in ReleaseHeld. This simulates
	// a network that delivers a request after the caller has timed out.
	HoldRequests int `json:"hold_requests"`
}

// WriteFault is a fault of a single write.
type WriteFault int

// The faults of a write.
const (
	NoFault WriteFault = iota
	// Unavailable makes the write fail with ErrUnavailable.
	Unavailable
	// ResponseLost applies the write and returns ErrUnknownResult.
	ResponseLost
	// RequestLost returns ErrUnknownResult without applying the write.
	RequestLost
	// AppliedLate returns ErrUnknownResult and applies the write in ReleaseHeld.
	AppliedLate
	writeFaults
)

// WriteFaults is the number of WriteFault values.
const WriteFaults = int(writeFaults)

// SetPutFaults sets the faults of the next calls of Put, in order. Later calls have no fault, and other writes are not
// affected. Faults set by SetFaults take precedence.
func (s *Store) SetPutFaults(faults ...WriteFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.putFaults = faults
}

// SetFaults replaces the faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.notifyWatches()
}

// Faults returns the faults with the remaining number of writes of each kind.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// ReleaseHeld applies the held writes in order of arrival and returns their number.
func (s *Store) ReleaseHeld() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	held := s.heldWrites
	s.heldWrites = nil
	for _, apply := range held {
		apply()
	}
	return len(held)
}

// read runs query under the lock, unless an injected fault makes the call fail, and counts the call.
func (s *Store) read(ctx context.Context, op store.Operation, query func() error) error {
	err := s.injectDelay(ctx)
	if err != nil {
		err = fmt.Errorf("%w: %w", store.ErrUnavailable, err)
	} else {
		s.mu.Lock()
		if s.faults.Down || s.faults.ReadsDown {
			err = store.ErrUnavailable
		} else {
			s.expire()
			err = query()
		}
		s.mu.Unlock()
	}
	s.counters.Add(op, store.ResultOf(err))
	return err
}

// write runs apply under the lock according to the injected faults, and counts the call.
func (s *Store) write(ctx context.Context, op store.Operation, apply func() error) error {
	late := s.injectDelay(ctx)
	err := s.applyWrite(op, apply)
	if late != nil {
		err = fmt.Errorf("%w: %w", store.ErrUnknownResult, late)
	}
	s.counters.Add(op, store.ResultOf(err))
	return err
}

func (s *Store) applyWrite(op store.Operation, apply func() error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	switch s.nextFault(op) {
	case Unavailable:
		return store.ErrUnavailable
	case RequestLost:
		return store.ErrUnknownResult
	case AppliedLate:
		s.heldWrites = append(s.heldWrites, func() { _ = apply() })
		return store.ErrUnknownResult
	case ResponseLost:
		_ = apply()
		return store.ErrUnknownResult
	}
	return apply()
}

// nextFault returns the fault of the next write and removes it from the injected faults. The caller holds the lock.
func (s *Store) nextFault(op store.Operation) WriteFault {
	switch {
	case s.faults.Down:
		return Unavailable
	case s.faults.LoseRequests > 0:
		s.faults.LoseRequests--
		return RequestLost
	case s.faults.HoldRequests > 0:
		s.faults.HoldRequests--
		return AppliedLate
	case s.faults.LoseResponses > 0:
		s.faults.LoseResponses--
		return ResponseLost
	case op == store.OpPut && len(s.putFaults) > 0:
		fault := s.putFaults[0]
		s.putFaults = s.putFaults[1:]
		return fault
	}
	return NoFault
}

// injectDelay waits for the injected delay. It returns early with the error of ctx if that ends.
func (s *Store) injectDelay(ctx context.Context) error {
	if slow := time.Duration(s.Faults().SlowMillis) * time.Millisecond; slow > 0 {
		timer := time.NewTimer(slow)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}
