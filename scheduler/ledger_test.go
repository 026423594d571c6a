package scheduler_test

import (
	"errors"
	"fmt"
	"maps"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/quetzalshed/quetzalshed/scheduler"
	"github.com/quetzalshed/quetzalshed/structs"
)

func drawResources(t *rapid.T, low int64) structs.Resources {
	return structs.Resources{
		MilliCores:   rapid.Int64Range(low, 8).Draw(t, "cores"),
		MemoryMB:     rapid.Int64Range(low, 8).Draw(t, "memory"),
		Accelerators: rapid.Int64Range(low, 2).Draw(t, "accelerators"),
	}
}

// ledgerOracle is a reference model of the ledger that sums over all reservations.
type ledgerOracle struct {
	capacity map[string]structs.Resources
	reported map[string]bool
	held     map[string]scheduler.Reservation
}

func (o *ledgerOracle) sum(worker, without string) structs.Resources {
	var sum structs.Resources
	for id, r := range o.held {
		if r.Worker == worker && id != without {
			sum = sum.Add(r.Resources)
		}
	}
	return sum
}

func (o *ledgerOracle) fits(worker, without string, r structs.Resources) bool {
	return r.Add(o.sum(worker, without)).Fits(o.capacity[worker])
}

func valid(r structs.Resources) bool {
	return r.MilliCores >= 0 && r.MemoryMB >= 0 && r.Accelerators >= 0 && !r.IsZero()
}

// checkAndApply compares the success of an operation with the expected one, and applies the operation to the oracle.
func (o *ledgerOracle) checkAndApply(t *rapid.T, err error, want bool, r scheduler.Reservation) {
	if (err == nil) != want {
		t.Fatalf("%+v: %v, want success %v", r, err, want)
	}
	if want {
		o.held[r.AllocationID] = r
	}
}

// Guards against reservations beyond a worker's capacity, resources that are lost or freed twice, and starts on
// workers that have not reported.
func TestLedgerAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := scheduler.NewLedger()
		o := ledgerOracle{map[string]structs.Resources{}, map[string]bool{}, map[string]scheduler.Reservation{}}
		worker := func() string { return fmt.Sprintf("w%d", rapid.IntRange(0, 1).Draw(t, "worker")) }
		draw := func() (r scheduler.Reservation, known bool, held scheduler.Reservation, holds bool) {
			id := fmt.Sprintf("a%d", rapid.IntRange(0, 4).Draw(t, "allocation"))
			r = scheduler.Reservation{AllocationID: id, Worker: worker(), Resources: drawResources(t, -1)}
			_, known = o.capacity[r.Worker]
			held, holds = o.held[id]
			return r, known && valid(r.Resources), held, holds
		}
		t.Repeat(map[string]func(*rapid.T){
			"set": func(t *rapid.T) {
				w, r := worker(), drawResources(t, -1)
				r = r.Add(r)
				if l.SetWorker(w, r) == nil {
					o.capacity[w] = r
				} else if r.MilliCores >= 0 && r.MemoryMB >= 0 && r.Accelerators >= 0 {
					t.Fatalf("capacity %v rejected", r)
				}
			},
			"report": func(t *rapid.T) {
				w, reported := worker(), rapid.Bool().Draw(t, "reported")
				if l.SetReported(w, reported) == nil {
					o.reported[w] = reported
				}
			},
			"remove": func(t *rapid.T) {
				w := worker()
				l.RemoveWorker(w)
				delete(o.capacity, w)
				delete(o.reported, w)
				maps.DeleteFunc(o.held, func(_ string, r scheduler.Reservation) bool { return r.Worker == w })
			},
			"reserve": func(t *rapid.T) {
				r, want, held, holds := draw()
				want = want && (holds && held == r || !holds && o.reported[r.Worker] && o.fits(r.Worker, "", r.Resources))
				o.checkAndApply(t, l.Reserve(r.Worker, r.AllocationID, r.Resources), want, r)
			},
			"adopt": func(t *rapid.T) {
				r, want, held, holds := draw()
				o.checkAndApply(t, l.Adopt(r.Worker, r.AllocationID, r.Resources), want && (!holds || held.Worker == r.Worker), r)
			},
			"resize": func(t *rapid.T) {
				r, _, held, holds := draw()
				r.Worker = held.Worker
				want := holds && valid(r.Resources) && (o.fits(held.Worker, r.AllocationID, r.Resources) || r.Resources.Fits(held.Resources))
				o.checkAndApply(t, l.Resize(r.AllocationID, r.Resources), want, r)
			},
			"reconcile": func(t *rapid.T) {
				r, _, held, holds := draw()
				inProgress := func(id string) bool { return id == "a0" }
				capacity := o.capacity[r.Worker]
				_, conflicts, err := l.Reconcile(r.Worker, capacity, []scheduler.Reservation{r}, inProgress)
				o.capacity[r.Worker], o.reported[r.Worker] = capacity, true
				maps.DeleteFunc(o.held, func(id string, other scheduler.Reservation) bool {
					return other.Worker == r.Worker && id != r.AllocationID && !inProgress(id)
				})
				want := valid(r.Resources) && (!holds || held.Worker == r.Worker)
				if err != nil || len(conflicts) > 1 {
					t.Fatalf("reconcile %+v: %v, %v", r, conflicts, err)
				}
				if len(conflicts) == 1 {
					err = conflicts[0].Err
				}
				o.checkAndApply(t, err, want, r)
			},
			"release": func(t *rapid.T) {
				r, _, _, holds := draw()
				if l.Release(r.AllocationID) != holds {
					t.Fatalf("release of %s: want %v", r.AllocationID, holds)
				}
				delete(o.held, r.AllocationID)
			},
			"": func(t *rapid.T) { checkLedger(t, l, &o) },
		})
	})
}

func checkLedger(t *rapid.T, l *scheduler.Ledger, o *ledgerOracle) {
	if l.Len() != len(o.held) {
		t.Fatalf("%d reservations, want %d", l.Len(), len(o.held))
	}
	for w, capacity := range o.capacity {
		sum := o.sum(w, "")
		if l.Reserved(w) != sum {
			t.Fatalf("%s has %v reserved, want %v", w, l.Reserved(w), sum)
		}
		if l.Overcommitted(w) != !sum.Fits(capacity) {
			t.Fatalf("%s: overcommitted %v with %v of %v", w, l.Overcommitted(w), sum, capacity)
		}
		free := l.Free(w)
		if !o.reported[w] && !free.IsZero() {
			t.Fatalf("%s has not reported and has %v free", w, free)
		}
		if sum.Fits(capacity) && !free.Add(sum).Fits(capacity) || free.MilliCores < 0 || free.MemoryMB < 0 || free.Accelerators < 0 {
			t.Fatalf("%s has %v free beside %v of %v", w, free, sum, capacity)
		}
	}
}

// Guards against an unbounded number of reservations on one worker, sums that overflow, and an overcommitted worker
// that can't recover because its reservations may not shrink.
func TestLedgerBounds(t *testing.T) {
	c := qt.New(t)
	l := scheduler.NewLedger()
	c.Assert(l.SetWorker("w", structs.Resources{MilliCores: 1 << 62}), qt.IsNil)
	c.Assert(l.Reserve("w", "early", structs.Resources{MilliCores: 1}), qt.Equals, scheduler.ErrUnreported)
	c.Assert(l.SetReported("w", true), qt.IsNil)
	for i := range scheduler.MaxReservationsPerWorker {
		c.Assert(l.Reserve("w", fmt.Sprint(i), structs.Resources{MilliCores: 1}), qt.IsNil)
	}
	c.Assert(errors.Is(l.Reserve("w", "more", structs.Resources{MilliCores: 1}), scheduler.ErrLedgerBound), qt.IsTrue)
	c.Assert(l.Release("0"), qt.IsTrue)
	c.Assert(errors.Is(l.Reserve("w", "huge", structs.Resources{MilliCores: 1<<63 - 1}), scheduler.ErrFull), qt.IsTrue)

	c.Assert(l.SetWorker("small", structs.Resources{MilliCores: 4}), qt.IsNil)
	c.Assert(l.Adopt("small", "a", structs.Resources{MilliCores: 9}), qt.IsNil)
	c.Assert(l.Overcommitted("small"), qt.IsTrue)
	c.Assert(l.Resize("a", structs.Resources{MilliCores: 6}), qt.IsNil)
	c.Assert(l.Resize("a", structs.Resources{MilliCores: 7}), qt.Equals, scheduler.ErrFull)
}
