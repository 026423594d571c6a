package scheduler

import (
	"errors"
	"slices"

	"github.com/quetzalshed/quetzalshed/structs"
)

// Bounds of a ledger.
const (
	// MaxLedgerWorkers limits the workers of one ledger. The largest planned fleet has 3,400.
	MaxLedgerWorkers = 8192
	// MaxReservationsPerWorker limits the reservations on one worker.
	MaxReservationsPerWorker = 1024
)

// Errors of a ledger. Callers compare with errors.Is.
var (
	// ErrFull means that the reservation does not fit beside the existing ones.
	ErrFull = errors.New("scheduler: worker is full")
	// ErrUnknownWorker means that the ledger has no such worker.
	ErrUnknownWorker = errors.New("scheduler: unknown worker")
	// ErrUnreported means that the worker has not reported yet and counts as full.
	ErrUnreported = errors.New("scheduler: worker has not reported")
	// ErrReserved means that the allocation already has a different reservation.
	ErrReserved = errors.New("scheduler: allocation is reserved already")
	// ErrUnknownAllocation means that the allocation has no reservation.
	ErrUnknownAllocation = errors.New("scheduler: unknown allocation")
	// ErrInvalidResources means that a field is negative, or all are zero.
	ErrInvalidResources = errors.New("scheduler: resources are negative or zero")
	// ErrLedgerBound means that the ledger has reached its limit of workers or reservations.
	ErrLedgerBound = errors.New("scheduler: ledger bound reached")
)

// Reservation is what one allocation reserves on one worker.
type Reservation struct {
	AllocationID string
	Worker       string
	Resources    structs.Resources
}

// Ledger holds the reservations on workers. The shard owner keeps one as a view of its shard; the agent keeps the
// authoritative one for its worker. Reserve and Resize never let the sum of a worker's reservations exceed its
// capacity in any resource. A ledger is not safe for concurrent use.
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

// SetWorker adds a worker as unreported, or changes the capacity of a known one. If the capacity falls below the
// reserved amount, the reservations stay, and nothing more fits until enough of them have ended. It returns
// ErrInvalidResources or ErrLedgerBound.
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

// SetReported sets whether the worker has reported. It returns ErrUnknownWorker for an unknown worker.
func (l *Ledger) SetReported(name string, reported bool) error {
	w := l.workers[name]
	if w == nil {
		return ErrUnknownWorker
	}
	w.reported = reported
	return nil
}

// RemoveWorker removes a worker with its reservations, and returns their number.
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

// Reserve adds the reservation of an allocation that is about to start. Repeating the same reservation changes
// nothing. On an error nothing changes; it is ErrUnknownWorker, ErrUnreported, ErrReserved, ErrInvalidResources,
// ErrLedgerBound or ErrFull.
func (l *Ledger) Reserve(worker, allocationID string, r structs.Resources) error {
	w, err := l.workerFor(worker, r)
	if err != nil {
		return err
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

// Adopt records an allocation that already runs, even if the worker is unreported or its capacity is exceeded: leaving
// it out would let more work start beside it. It returns ErrUnknownWorker, ErrReserved if the allocation is reserved
// on another worker, ErrInvalidResources or ErrLedgerBound.
func (l *Ledger) Adopt(worker, allocationID string, r structs.Resources) error {
	w, err := l.workerFor(worker, r)
	if err != nil {
		return err
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

// workerFor returns the worker of a reservation, or ErrUnknownWorker or ErrInvalidResources.
func (l *Ledger) workerFor(name string, r structs.Resources) (*ledgerWorker, error) {
	w := l.workers[name]
	switch {
	case w == nil:
		return nil, ErrUnknownWorker
	case invalid(r):
		return nil, ErrInvalidResources
	}
	return w, nil
}

func (l *Ledger) add(w *ledgerWorker, r Reservation) {
	w.reserved = w.reserved.Add(r.Resources)
	w.held[r.AllocationID] = true
	l.reservations[r.AllocationID] = r
}

// Resize changes the reservation of an allocation. On an error nothing changes; it is ErrUnknownAllocation,
// ErrInvalidResources, or ErrFull if a resource would grow beyond the capacity.
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

// Release removes the reservation of an allocation and reports whether there was one.
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

// Conflict is a reported allocation that the ledger could not adopt, with the error.
type Conflict struct {
	Reservation
	Err error
}

// Reconcile updates the ledger from a worker's report: it sets the capacity, marks the worker as reported and adopts
// the reported reservations. Reservations that were not reported are released unless inProgress returns true for them,
// as for starts that the report can't show yet. It returns the released allocations in sorted order and the reported
// ones that could not be adopted, such as one that is reserved on another worker. The error is ErrInvalidResources or
// ErrLedgerBound for the worker.
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

// Free returns what can still be reserved on a worker: nothing if it is unknown or unreported. No field is negative.
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

// Overcommitted reports whether the reservations on a worker exceed its capacity, after an adoption or a reduced
// capacity.
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
