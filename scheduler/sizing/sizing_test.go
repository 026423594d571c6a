package sizing_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/scheduler/sizing"
	"github.com/quetzalshed/quetzalshed/structs"
)

var (
	start    = time.Date(2026, 5, 4, 10, 0, 0, 0, time.UTC)
	declared = structs.Resources{MilliCores: 4000, MemoryMB: 8000, Accelerators: 1}
)

func usage(milliCores, memoryMB int64) structs.Resources {
	return structs.Resources{MilliCores: milliCores, MemoryMB: memoryMB}
}

// Guards against reservations that few samples move far from the declared size, up or down.
func TestFewSamplesStayNearDeclared(t *testing.T) {
	c := qt.New(t)
	m := sizing.New(sizing.Config{})
	c.Assert(m.Reservation("c", declared, structs.Resources{}, start), qt.Equals, declared)
	m.Observe("c", usage(100, 100_000), structs.Resources{}, 0, start)
	c.Assert(m.Reservation("c", declared, structs.Resources{}, start), qt.Equals,
		structs.Resources{MilliCores: 2000, MemoryMB: 16000, Accelerators: 1})
	for range sizing.DefaultMinSamples {
		m.Observe("c", usage(100, 100_000), structs.Resources{}, 0, start)
	}
	got := m.Reservation("c", declared, structs.Resources{}, start)
	c.Assert(got.MilliCores < 130, qt.IsTrue)
	c.Assert(got.MemoryMB > 115_000, qt.IsTrue)
	c.Assert(got.Accelerators, qt.Equals, int64(1))
}

// Guards against a reservation below the current usage of the task.
func TestNeverBelowActualUsage(t *testing.T) {
	c := qt.New(t)
	m := sizing.New(sizing.Config{})
	actual := usage(9000, 17000)
	c.Assert(m.Reservation("c", declared, actual, start), qt.Equals, structs.Resources{MilliCores: 9000, MemoryMB: 17000, Accelerators: 1})
	m.Observe("c", usage(10, 10), structs.Resources{}, 0, start)
	c.Assert(m.Reservation("c", declared, actual, start), qt.Equals, structs.Resources{MilliCores: 9000, MemoryMB: 17000, Accelerators: 1})
}

// Guards against reservations that grow from one generation of tasks to the next, until one task takes a whole worker,
// because the tasks use all that they are given. Also checks that usage beyond the reservation does raise it.
func TestCoveredUsageDoesNotRaiseReservations(t *testing.T) {
	c := qt.New(t)
	m := sizing.New(sizing.Config{})
	reserved := declared
	for range 50 {
		for range 100 {
			m.Observe("c", reserved, reserved, 0, start)
		}
		reserved = m.Reservation("c", declared, structs.Resources{}, start)
	}
	// The buckets of the histograms round up by 8% at most, once.
	c.Assert(reserved.MilliCores <= 4320 && reserved.MemoryMB <= 8640, qt.IsTrue, qt.Commentf("%v", reserved))
	c.Assert(reserved.MilliCores >= 4000 && reserved.MemoryMB >= 8000, qt.IsTrue, qt.Commentf("%v", reserved))
	for range 1000 {
		m.Observe("c", usage(6000, 12000), reserved, 0, start)
	}
	grown := m.Reservation("c", declared, structs.Resources{}, start)
	c.Assert(grown.MilliCores >= 6600 && grown.MemoryMB >= 13800, qt.IsTrue, qt.Commentf("usage beyond the reservation: %v", grown))
}

// Guards against percentiles distorted by the buckets: the reservation covers the percentile of the samples with
// headroom, and exceeds it by at most one bucket.
func TestPercentileAgainstSortedSamples(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 2))
		m := sizing.New(sizing.Config{CoreHeadroom: 1.2, MemoryHeadroom: 1.5})
		var cores, memory []int64
		for range 500 {
			u := usage(50+random.Int64N(1+random.Int64N(16000)), 100+random.Int64N(60000))
			cores, memory = append(cores, u.MilliCores), append(memory, u.MemoryMB)
			m.Observe("c", u, structs.Resources{}, 0, start)
		}
		slices.Sort(cores)
		slices.Sort(memory)
		got := m.Reservation("c", declared, structs.Resources{}, start)
		checkRange(c, got.MilliCores, float64(cores[474])*1.2)
		checkRange(c, got.MemoryMB, float64(memory[494])*1.5)
	}
}

func checkRange(c *qt.C, got int64, want float64) {
	c.Helper()
	c.Assert(float64(got) >= want && float64(got) <= want*1.08+2, qt.IsTrue, qt.Commentf("got %d, want %.0f", got, want))
}

// Guards against a class that keeps the size of old usage, and against weights that overflow over time.
func TestOldUsageDecays(t *testing.T) {
	c := qt.New(t)
	m := sizing.New(sizing.Config{HalfLife: time.Hour, MinSamples: 8})
	now := start
	for range 1000 {
		m.Observe("c", usage(10000, 30000), structs.Resources{}, 0, now)
	}
	for range 200 {
		now = now.Add(time.Hour)
		for i := range int64(5) {
			m.Observe("c", usage(960+i*10, 2960+i*10), structs.Resources{}, 2*time.Second, now)
		}
	}
	got := m.Reservation("c", declared, structs.Resources{}, now)
	c.Assert(got.MilliCores < 1300 && got.MemoryMB < 4000, qt.IsTrue, qt.Commentf("%v", got))
	got = m.Reservation("c", declared, structs.Resources{}, now.Add(24*time.Hour))
	c.Assert(got, qt.Equals, structs.Resources{MilliCores: 2000, MemoryMB: 4000, Accelerators: 1}, qt.Commentf("samples of the previous day weigh little"))
	for range 20 {
		m.Observe("c", usage(2000, 5000), structs.Resources{}, 0, now)
	}
	grown := m.Reservation("c", declared, structs.Resources{}, now)
	c.Assert(grown.MilliCores >= 2200 && grown.MemoryMB >= 5750, qt.IsTrue, qt.Commentf("%v", grown))
}

// Guards against a model that grows with every class name, and against learned sizes that a new owner loses.
func TestModelBoundAndSummary(t *testing.T) {
	c := qt.New(t)
	m := sizing.New(sizing.Config{})
	for i := range sizing.MaxClasses + 5 {
		m.Observe(fmt.Sprint(i), usage(10, 10), structs.Resources{}, 0, start.Add(time.Duration(i)))
	}
	c.Assert(m.Len(), qt.Equals, sizing.MaxClasses)
	for i := range 500 {
		m.Observe("c", usage(int64(1000+i), int64(2000+i)), structs.Resources{}, 0, start)
	}
	want := m.Reservation("c", declared, structs.Resources{}, start)
	restored := sizing.New(sizing.Config{})
	summary := m.Export(3, start)
	c.Assert(summary, qt.HasLen, 3)
	restored.Import(summary, start)
	c.Assert(restored.Reservation("c", declared, structs.Resources{}, start), qt.Equals, want)
}
