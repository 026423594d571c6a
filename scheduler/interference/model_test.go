package interference_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/scheduler/interference"
)

var start = time.Date(2026, 5, 4, 10, 0, 0, 0, time.UTC)

const lag = 4 * time.Second

// simulation feeds a Model with lagged measurements of a service whose true slowdown is known.
type simulation struct {
	model  *interference.Model
	now    time.Time
	random *rand.Rand
	// trueSlowdowns maps each batch class to the relative slowdown on a worker fully loaded with it.
	trueSlowdowns map[string]float64
	noise         float64
}

func newSimulation(seed uint64, trueSlowdowns map[string]float64) *simulation {
	return &simulation{interference.New(interference.Config{}), start, rand.New(rand.NewPCG(seed, 3)), trueSlowdowns, 0.05}
}

func (s *simulation) latency(loads []interference.Load) float64 {
	factor := 1.0
	for _, load := range loads {
		factor += s.trueSlowdowns[load.Class] * load.Share
	}
	return 100 * factor * (1 + s.noise*(2*s.random.Float64()-1))
}

// run keeps the loads unchanged for some seconds and takes a measurement every second.
func (s *simulation) run(seconds int, loads ...interference.Load) {
	s.model.SetLoads("w", loads, s.now)
	for i := range seconds {
		s.now = s.now.Add(time.Second)
		if i >= int(lag/time.Second) {
			s.model.Observe("w", "svc", s.latency(loads), lag, s.now)
		}
		s.model.Advance(s.now)
	}
}

// The slowdown by a noisy class must not be attributed to a harmless class on the same worker.
func TestNoisyClassIsIdentified(t *testing.T) {
	for seed := range uint64(20) {
		c := qt.New(t)
		s := newSimulation(seed, map[string]float64{"noisy": 2, "harmless": 0.05})
		for range 8 {
			s.run(12)
			s.run(12, interference.Load{Class: "noisy", Share: 0.3}, interference.Load{Class: "harmless", Share: 0.3})
			s.run(12, interference.Load{Class: "harmless", Share: 0.5})
		}
		noisy, harmless := s.model.Estimate("svc", "noisy"), s.model.Estimate("svc", "harmless")
		c.Assert(noisy.Blocked, qt.IsTrue, qt.Commentf("seed %d: %+v", seed, noisy))
		c.Assert(harmless.Known && !harmless.Blocked && harmless.Slowdown < 1.25, qt.IsTrue, qt.Commentf("seed %d: %+v", seed, harmless))
		c.Assert(noisy.Slowdown > 2 && noisy.Slowdown < 4, qt.IsTrue, qt.Commentf("seed %d: %+v", seed, noisy))
		c.Assert(s.model.Estimate("svc", "new"), qt.Equals, interference.Estimate{Slowdown: 1, Limit: interference.DefaultLimit})
	}
}

// Measurement noise must not be attributed to a harmless class whose tasks are throttled: divided by their small share,
// noise of a few percent looks like a slowdown by several times.
func TestSmallSharesHaveLowWeight(t *testing.T) {
	for seed := range uint64(20) {
		c := qt.New(t)
		s := newSimulation(seed, map[string]float64{"b": 0.3})
		s.noise = 0.15
		s.run(30)
		s.run(60, interference.Load{Class: "b", Share: 0.02})
		s.run(8, interference.Load{Class: "b", Share: 0.2})
		got := s.model.Estimate("svc", "b")
		c.Assert(!got.Blocked && got.Slowdown < 2, qt.IsTrue, qt.Commentf("seed %d: %+v", seed, got))
	}
}

// A class that a service tolerates at a moderate share must not be blocked everywhere because it filled one worker.
func TestFullWorkerDoesNotBlockModerateClass(t *testing.T) {
	c := qt.New(t)
	s := newSimulation(1, map[string]float64{"b": 0.6})
	s.run(30)
	s.run(60, interference.Load{Class: "b", Share: 0.8})
	got := s.model.Estimate("svc", "b")
	c.Assert(got.Known && !got.Blocked && got.Slowdown > 1.5, qt.IsTrue, qt.Commentf("%+v", got))
}

// A class whose slowdown is far beyond the limit must be blocked after a few samples.
func TestEarlyBlock(t *testing.T) {
	c := qt.New(t)
	s := newSimulation(1, map[string]float64{"b": 5})
	s.run(20)
	s.run(int(lag/time.Second)+5, interference.Load{Class: "b", Share: 0.3})
	c.Assert(s.model.Estimate("svc", "b").Blocked, qt.IsTrue)
}

// The baseline must not stay at the first measurement if that was taken under batch load.
func TestBaselineFromUndisturbedSamples(t *testing.T) {
	c := qt.New(t)
	s := newSimulation(1, map[string]float64{"b": 4})
	s.noise = 0
	s.run(10, interference.Load{Class: "b", Share: 0.5})
	c.Assert(s.model.BaselineMillis("svc"), qt.Equals, 0.0)
	s.run(10)
	c.Assert(s.model.BaselineMillis("svc"), qt.Equals, 100.0)
}

// A lagged measurement must be matched with the loads at the time when it was taken, not with the present loads.
func TestLaggedSamples(t *testing.T) {
	c := qt.New(t)
	m := interference.New(interference.Config{})
	m.SetLoads("w", nil, start)
	m.SetLoads("w", []interference.Load{{Class: "b", Share: 0.5}}, start.Add(10*time.Second))
	now := start.Add(13 * time.Second)
	c.Assert(m.Observe("w", "svc", 100, 5*time.Second, now), qt.IsTrue)
	c.Assert(m.BaselineMillis("svc"), qt.Equals, 100.0)
	c.Assert(m.Observe("w", "svc", 300, 2*time.Second, now), qt.IsFalse, qt.Commentf("the loads had just changed"))
	c.Assert(m.Observe("w", "svc", 300, time.Minute, now), qt.IsFalse, qt.Commentf("the loads are not known"))
	c.Assert(m.Observe("v", "svc", 300, 0, now), qt.IsFalse)
	c.Assert(m.Len(), qt.Equals, 0)
	c.Assert(m.Observe("w", "svc", 150, 0, now), qt.IsTrue)
	c.Assert(m.Estimate("svc", "b").Slowdown, qt.Equals, 2.0)
}

// A pair near the limit must not be blocked and unblocked repeatedly.
func TestBlockDoesNotFlap(t *testing.T) {
	for seed := range uint64(20) {
		c := qt.New(t)
		s := newSimulation(seed, map[string]float64{"b": 0.5})
		s.noise = 0.15
		s.run(30)
		changes, blocked := 0, false
		for range 100 {
			s.run(6, interference.Load{Class: "b", Share: 0.5})
			if now := s.model.Estimate("svc", "b").Blocked; now != blocked {
				changes, blocked = changes+1, now
			}
		}
		c.Assert(changes <= 2, qt.IsTrue, qt.Commentf("seed %d: %d changes", seed, changes))
	}
}

// A block must expire, so that a class that became harmless is admitted again. While the class stays harmful, each block
// must last twice as long as the one before.
func TestBlockExpiresAndDurationDoubles(t *testing.T) {
	c := qt.New(t)
	s := newSimulation(1, map[string]float64{"b": 4})
	s.run(30)
	load := interference.Load{Class: "b", Share: 0.2}
	var blocks []time.Duration
	for range 3 {
		s.run(15, load)
		c.Assert(s.model.Estimate("svc", "b").Blocked, qt.IsTrue)
		from := s.now
		for s.model.Estimate("svc", "b").Blocked {
			s.run(10)
		}
		c.Assert(s.model.Estimate("svc", "b").Known, qt.IsFalse, qt.Commentf("explored with few tasks"))
		blocks = append(blocks, s.now.Sub(from).Round(time.Minute))
	}
	c.Assert(blocks, qt.DeepEquals, []time.Duration{10 * time.Minute, 20 * time.Minute, 40 * time.Minute})
	s.trueSlowdowns["b"] = 0.1
	s.run(40, load)
	got := s.model.Estimate("svc", "b")
	c.Assert(got.Known && !got.Blocked, qt.IsTrue, qt.Commentf("%+v", got))
}

// Estimates without new samples must become unknown and finally be dropped.
func TestEstimatesExpire(t *testing.T) {
	c := qt.New(t)
	s := newSimulation(1, map[string]float64{"b": 0.1})
	s.run(20)
	s.run(40, interference.Load{Class: "b", Share: 0.5})
	c.Assert(s.model.Estimate("svc", "b").Known, qt.IsTrue)
	s.model.Advance(s.now.Add(2 * time.Hour))
	c.Assert(s.model.Estimate("svc", "b").Known, qt.IsFalse)
	s.model.Advance(s.now.Add(24 * time.Hour))
	c.Assert(s.model.Len(), qt.Equals, 0)
}

// A new owner must get the estimates of the previous one.
func TestExportAndImport(t *testing.T) {
	c := qt.New(t)
	s := newSimulation(1, map[string]float64{"b": 4, "harmless": 0.1})
	s.run(20)
	s.run(30, interference.Load{Class: "b", Share: 0.5})
	s.run(40, interference.Load{Class: "harmless", Share: 0.5})
	restored := interference.New(interference.Config{})
	summary := s.model.Export(2, s.now)
	c.Assert(summary.Pairs, qt.HasLen, 2)
	restored.Import(summary, s.now)
	for _, class := range []string{"b", "harmless"} {
		c.Assert(restored.Estimate("svc", class), qt.Equals, s.model.Estimate("svc", class))
	}
	c.Assert(restored.BaselineMillis("svc"), qt.Equals, s.model.BaselineMillis("svc"))
}

// The table of pairs must not grow without limit, and a blocked pair must not be dropped for its few samples.
func TestNumberOfPairsIsBounded(t *testing.T) {
	c := qt.New(t)
	m := interference.New(interference.Config{SettleTime: time.Nanosecond})
	now := start
	observe := func(class string, latency float64, n int) {
		m.SetLoads("w", []interference.Load{{Class: class, Share: 0.5}}, now)
		now = now.Add(time.Millisecond)
		for range n {
			m.Observe("w", "svc", latency, 0, now)
		}
	}
	observe("first", 100, 1)
	observe("bad", 900, 4)
	for i := range interference.MaxPairs {
		observe(fmt.Sprint(i), 100, 5)
	}
	c.Assert(m.Len(), qt.Equals, interference.MaxPairs)
	c.Assert(m.Estimate("svc", "bad").Blocked, qt.IsTrue)
}

// Batch tasks must not be kept away from a service that answers in a fraction of its objective, and an objective must not
// lower the limit.
func TestObjectiveRaisesLimit(t *testing.T) {
	c := qt.New(t)
	for objective, limit := range map[float64]float64{0: interference.DefaultLimit, 60: interference.DefaultLimit, 200: 2.8} {
		model := interference.New(interference.Config{})
		model.SetObjective("svc", objective)
		c.Assert(model.Estimate("svc", "b").Limit, qt.Equals, interference.DefaultLimit, qt.Commentf("no latency is known yet"))
		now := time.Unix(1000, 0)
		model.SetLoads("w", nil, now)
		model.Observe("w", "svc", 50, 0, now.Add(time.Minute))
		c.Assert(model.Estimate("svc", "b").Limit, qt.Equals, limit)
		model.Import(model.Export(8, now), now)
		c.Assert(model.Estimate("svc", "b").Limit, qt.Equals, limit, qt.Commentf("after a change of ownership"))
	}
}

// A class that is kept away from a service yields no samples. Its estimate must become stale, or one that is too high would
// never be corrected.
func TestKnownPairsBecomeStale(t *testing.T) {
	c := qt.New(t)
	s := newSimulation(1, map[string]float64{"harmless": 0.05})
	s.run(12)
	s.run(30, interference.Load{Class: "harmless", Share: 0.5})
	s.model.Advance(s.now)
	c.Assert(s.model.Estimate("svc", "harmless").Known, qt.IsTrue)
	c.Assert(s.model.Estimate("svc", "harmless").Stale, qt.IsFalse)
	s.run(60)
	s.model.Advance(s.now)
	c.Assert(s.model.Estimate("svc", "harmless").Stale, qt.IsTrue)
}
