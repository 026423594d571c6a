package scheduler

import (
	"errors"
	"slices"

	"github.com/quetzalshed/quetzalshed/structs"
)

// Bounds of a ledger.
const (
	// MaxLedgerWorkers bounds the workers of one ledger. The largest fleet in sight has 3,400.
	MaxLedgerWorkers = 8192
	// MaxReservationsPerWorker bounds the reservations on one worker.
	MaxReservationsPerWorker = 1024
)

// Errors of a ledger. Callers compare with errors.Is.
var (
	// ErrFull means that the reservation does not fit beside the others.
	ErrFull = errors.New("scheduler: worker is full")
	// ErrUnknownWorker means that the ledger has no such worker.
	ErrUnknownWorker = errors.New("scheduler: unknown worker")
	// ErrUnreported means that the worker has not reported yet and counts as full.
	ErrUnreported = errors.New("scheduler: worker has not reported")
	// ErrReserved means that the allocation holds another reservation already.
	ErrReserved = errors.New("scheduler: allocation is reserved already")
	// ErrUnknownAllocation means that the allocation holds no reservation.
	ErrUnknownAllocation = errors.New("scheduler: unknown allocation")
	// ErrInvalidResources means that a field is negative, or all are zero.
	ErrInvalidResources = errors.New("scheduler: resources are negative or zero")
	// ErrLedgerBound means that the ledger holds as many workers or reservations as it may.
	ErrLedgerBound = errors.New("scheduler: ledger bound reached")
)

// Reservation is the room that one allocation holds on one worker.
type Reservation struct {
	AllocationID string
	Worker       string
	Resources    structs.Resources
}

// Ledger holds the reservations on workers. The shard owner keeps one for its shard as a view, the agent keeps one for
// its worker that decides. Reserve and Resize never let the sum of a worker's reservations exceed its capacity in any
// field. A ledger is not safe for concurrent use.
type Ledger struct {
	workers      map[string]*ledgerWorker
	reservations map[string]Reservation
}

type ledgerWorker struct {
	capacity structs.Resources
	reserved structs.Resources
	held     map[string]bool
	reported bool
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{workers: map[string]*ledgerWorker{}, reservations: map[string]Reservation{}}
}

// SetWorker adds a worker as unreported, or changes the capacity of a known one. A capacity below what is reserved
// keeps the reservations, and nothing more fits until they have ended. Returns ErrInvalidResources or ErrLedgerBound.
func (l *Ledger) SetWorker(name string, capacity structs.Resources) error {
	if negative(capacity) {
		return ErrInvalidResources
	}
	if w := l.workers[name]; w != nil {
		w.capacity = capacity
		return nil
	}
	if len(l.workers) >= MaxLedgerWorkers {
		return ErrLedgerBound
	}
	l.workers[name] = &ledgerWorker{capacity: capacity, held: map[string]bool{}}
	return nil
}

// SetReported tells whether the worker has reported. Returns ErrUnknownWorker.
func (l *Ledger) SetReported(name string, reported bool) error {
	w := l.workers[name]
	if w == nil {
		return ErrUnknownWorker
	}
	w.reported = reported
	return nil
}

// RemoveWorker forgets a worker and its reservations, and returns how many reservations it held.
func (l *Ledger) RemoveWorker(name string) int {
	w := l.workers[name]
	if w == nil {
		return 0
	}
	for id := range w.held {
		delete(l.reservations, id)
	}
	delete(l.workers, name)
	return len(w.held)
}

// Reserve reserves room for an allocation that is about to start. The same reservation again changes nothing. Returns
// ErrUnknownWorker, ErrUnreported, ErrReserved, ErrInvalidResources, ErrLedgerBound or ErrFull, with nothing changed.
func (l *Ledger) Reserve(worker, allocationID string, r structs.Resources) error {
	w := l.workers[worker]
	switch {
	case w == nil:
		return ErrUnknownWorker
	case invalid(r):
		return ErrInvalidResources
	}
	if held, ok := l.reservations[allocationID]; ok {
		if held.Worker == worker && held.Resources == r {
			return nil
		}
		return ErrReserved
	}
	switch {
	case !w.reported:
		return ErrUnreported
	case len(w.held) >= MaxReservationsPerWorker:
		return ErrLedgerBound
	case !r.Fits(w.capacity.Sub(w.reserved)):
		return ErrFull
	}
	l.add(w, Reservation{allocationID, worker, r})
	return nil
}

// Adopt records an allocation that runs already, even if the worker is unreported or has become smaller: what runs is a
// fact, and leaving it out would let more work start beside it. Returns ErrUnknownWorker, ErrReserved if the allocation
// is held on another worker, ErrInvalidResources or ErrLedgerBound.
func (l *Ledger) Adopt(worker, allocationID string, r structs.Resources) error {
	w := l.workers[worker]
	switch {
	case w == nil:
		return ErrUnknownWorker
	case invalid(r):
		return ErrInvalidResources
	}
	held, ok := l.reservations[allocationID]
	if ok && held.Worker != worker {
		return ErrReserved
	}
	if !ok && len(w.held) >= MaxReservationsPerWorker {
		return ErrLedgerBound
	}
	if ok {
		l.Release(allocationID)
	}
	l.add(w, Reservation{allocationID, worker, r})
	return nil
}

func (l *Ledger) add(w *ledgerWorker, r Reservation) {
	w.reserved = w.reserved.Add(r.Resources)
	w.held[r.AllocationID] = true
	l.reservations[r.AllocationID] = r
}

// Resize changes the room that an allocation holds. Returns ErrUnknownAllocation, ErrInvalidResources, or ErrFull if a
// field would grow above the capacity, with nothing changed.
func (l *Ledger) Resize(allocationID string, r structs.Resources) error {
	held, ok := l.reservations[allocationID]
	switch {
	case !ok:
		return ErrUnknownAllocation
	case invalid(r):
		return ErrInvalidResources
	}
	w := l.workers[held.Worker]
	if !r.Fits(held.Resources) && !r.Fits(w.capacity.Sub(w.reserved).Add(held.Resources)) {
		return ErrFull
	}
	w.reserved = w.reserved.Sub(held.Resources).Add(r)
	held.Resources = r
	l.reservations[allocationID] = held
	return nil
}

// Release frees the room of an allocation and tells whether it held any.
func (l *Ledger) Release(allocationID string) bool {
	held, ok := l.reservations[allocationID]
	if !ok {
		return false
	}
	w := l.workers[held.Worker]
	w.reserved = w.reserved.Sub(held.Resources)
	delete(w.held, allocationID)
	delete(l.reservations, allocationID)
	return true
}

// Conflict is a reported allocation that the ledger could not adopt, with the reason.
type Conflict struct {
	Reservation
	Err error
}

// Reconcile makes the ledger agree with what a worker reports to hold, marks it as reported and sets its capacity. What
// it holds is adopted. Reservations that it doesn't hold are released unless underway returns true for them, as for
// starts that the report can't show yet. It returns the released allocations in order and those that could not be
// adopted, such as one that is reserved on another worker. Returns ErrInvalidResources or ErrLedgerBound for the worker.
func (l *Ledger) Reconcile(worker string, capacity structs.Resources, held []Reservation, inProgress func(allocationID string) bool,
) (released []string, conflicts []Conflict, err error) {
	if err := l.SetWorker(worker, capacity); err != nil {
		return nil, nil, err
	}
	w := l.workers[worker]
	w.reported = true
	reported := make(map[string]bool, len(held))
	for _, r := range held {
		reported[r.AllocationID] = true
	}
	for id := range w.held {
		if !reported[id] && !inProgress(id) {
			released = append(released, id)
		}
	}
	slices.Sort(released)
	for _, id := range released {
		l.Release(id)
	}
	for _, r := range held {
		if err := l.Adopt(worker, r.AllocationID, r.Resources); err != nil {
			conflicts = append(conflicts, Conflict{r, err})
		}
	}
	return released, conflicts, nil
}

// Lookup returns the reservation of an allocation.
func (l *Ledger) Lookup(allocationID string) (Reservation, bool) {
	r, ok := l.reservations[allocationID]
	return r, ok
}

// Free returns what may still be reserved on a worker: nothing if it is unknown or unreported. No field is negative.
func (l *Ledger) Free(worker string) structs.Resources {
	w := l.workers[worker]
	if w == nil || !w.reported {
		return structs.Resources{}
	}
	free := w.capacity.Sub(w.reserved)
	return structs.Resources{
		MilliCores: max(free.MilliCores, 0), MemoryMB: max(free.MemoryMB, 0), Accelerators: max(free.Accelerators, 0),
	}
}

// Reserved returns the sum of the reservations on a worker.
func (l *Ledger) Reserved(worker string) structs.Resources {
	if w := l.workers[worker]; w != nil {
		return w.reserved
	}
	return structs.Resources{}
}

// Overcommitted tells whether adopted work or a reduced capacity left a worker with more reserved than it holds.
func (l *Ledger) Overcommitted(worker string) bool {
	w := l.workers[worker]
	return w != nil && !w.reserved.Fits(w.capacity)
}

// Len returns the number of reservations.
func (l *Ledger) Len() int { return len(l.reservations) }

func negative(r structs.Resources) bool {
	return r.MilliCores < 0 || r.MemoryMB < 0 || r.Accelerators < 0
}

func invalid(r structs.Resources) bool { return negative(r) || r.IsZero() }
