package scheduler_test

import (
	"errors"
	"fmt"
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

// ledgerOracle repeats the rule of the ledger with plain sums over all reservations.
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

// Guards against a worker that is assigned more than it holds, room that is lost or freed twice, and starts on workers
// that have not reported.
func TestLedgerAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := scheduler.NewLedger()
		o := ledgerOracle{map[string]structs.Resources{}, map[string]bool{}, map[string]scheduler.Reservation{}}
		worker := func() string { return fmt.Sprintf("w%d", rapid.IntRange(0, 1).Draw(t, "worker")) }
		allocation := func() string { return fmt.Sprintf("a%d", rapid.IntRange(0, 4).Draw(t, "allocation")) }
		t.Repeat(map[string]func(*rapid.T){
			"set": func(t *rapid.T) {
				w, r := worker(), drawResources(t, -1)
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
				for id, r := range o.held {
					if r.Worker == w {
						delete(o.held, id)
					}
				}
			},
			"reserve": func(t *rapid.T) {
				w, id, r := worker(), allocation(), drawResources(t, -1)
				_, known := o.capacity[w]
				held, holds := o.held[id]
				want := known && valid(r)
				if holds {
					want = want && held == scheduler.Reservation{AllocationID: id, Worker: w, Resources: r}
				} else {
					want = want && o.reported[w] && o.fits(w, "", r)
				}
				err := l.Reserve(w, id, r)
				if (err == nil) != want {
					t.Fatalf("reserve %s on %s %v: %v, want success %v", id, w, r, err, want)
				}
				if want {
					o.held[id] = scheduler.Reservation{AllocationID: id, Worker: w, Resources: r}
				}
			},
			"adopt": func(t *rapid.T) {
				w, id, r := worker(), allocation(), drawResources(t, -1)
				_, known := o.capacity[w]
				held, holds := o.held[id]
				want := known && valid(r) && (!holds || held.Worker == w)
				if err := l.Adopt(w, id, r); (err == nil) != want {
					t.Fatalf("adopt: %v, want success %v", err, want)
				}
				if want {
					o.held[id] = scheduler.Reservation{AllocationID: id, Worker: w, Resources: r}
				}
			},
			"resize": func(t *rapid.T) {
				id, r := allocation(), drawResources(t, -1)
				held, holds := o.held[id]
				want := holds && valid(r) && (o.fits(held.Worker, id, r) || r.Fits(held.Resources))
				if err := l.Resize(id, r); (err == nil) != want {
					t.Fatalf("resize %v to %v: %v, want success %v", held, r, err, want)
				}
				if want {
					held.Resources = r
					o.held[id] = held
				}
			},
			"release": func(t *rapid.T) {
				id := allocation()
				_, holds := o.held[id]
				if l.Release(id) != holds {
					t.Fatalf("release of %s: want %v", id, holds)
				}
				delete(o.held, id)
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

// Guards against reservations without end on one worker, and sums that overflow.
func TestLedgerBounds(t *testing.T) {
	c := qt.New(t)
	l := scheduler.NewLedger()
	c.Assert(l.SetWorker("w", structs.Resources{MilliCores: 1 << 62}), qt.IsNil)
	c.Assert(l.SetReported("w", true), qt.IsNil)
	for i := range scheduler.MaxReservationsPerWorker {
		c.Assert(l.Reserve("w", fmt.Sprint(i), structs.Resources{MilliCores: 1}), qt.IsNil)
	}
	c.Assert(errors.Is(l.Reserve("w", "more", structs.Resources{MilliCores: 1}), scheduler.ErrLedgerBound), qt.IsTrue)
	c.Assert(l.Release("0"), qt.IsTrue)
	c.Assert(errors.Is(l.Reserve("w", "huge", structs.Resources{MilliCores: 1<<63 - 1}), scheduler.ErrFull), qt.IsTrue)
}

// Guards against an overcommitted worker that can't recover, since its reservations may not even shrink.
func TestOvercommittedWorkerShrinks(t *testing.T) {
	c := qt.New(t)
	l := scheduler.NewLedger()
	c.Assert(l.SetWorker("w", structs.Resources{MilliCores: 4}), qt.IsNil)
	c.Assert(l.Adopt("w", "a", structs.Resources{MilliCores: 9}), qt.IsNil)
	c.Assert(l.Overcommitted("w"), qt.IsTrue)
	c.Assert(l.Resize("a", structs.Resources{MilliCores: 6}), qt.IsNil)
	c.Assert(l.Resize("a", structs.Resources{MilliCores: 7}), qt.Equals, scheduler.ErrFull)
}
