package quota_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/scheduler/quota"
	"github.com/quetzalshed/quetzalshed/structs"
)

// Guards against a limit that applies to one resource only, or that doesn't apply to teams without an entry.
func TestLimits(t *testing.T) {
	c := qt.New(t)
	limits := quota.Limits{
		Teams:   map[string]structs.Resources{"a": {MilliCores: 10, MemoryMB: quota.Unlimited, Accelerators: 1}},
		Default: &structs.Resources{MilliCores: 5, MemoryMB: 5},
	}
	table := quota.NewTable(&limits, structs.Resources{MilliCores: 100})
	a := table.OpenAccount("a")
	a.Charge(structs.Resources{MilliCores: 6, MemoryMB: 1 << 40})
	c.Assert(a.Allows(structs.Resources{MilliCores: 4, MemoryMB: 1 << 40, Accelerators: 1}), qt.IsTrue)
	c.Assert(a.Allows(structs.Resources{MilliCores: 5}), qt.IsFalse)
	c.Assert(a.Allows(structs.Resources{Accelerators: 2}), qt.IsFalse)
	c.Assert(table.OpenAccount("b").Allows(structs.Resources{MilliCores: 5, MemoryMB: 5}), qt.IsTrue)
	c.Assert(table.OpenAccount("b").Allows(structs.Resources{MemoryMB: 6}), qt.IsFalse)
	c.Assert(limits.ExceededBy("a", structs.Resources{MilliCores: 11}), qt.IsTrue)
	c.Assert(limits.ExceededBy("a", structs.Resources{MilliCores: 10, MemoryMB: 99}), qt.IsFalse)
	unlimited := quota.NewTable(&quota.Limits{}, structs.Resources{})
	c.Assert(unlimited.OpenAccount("x").Allows(structs.Resources{MilliCores: 1 << 50}), qt.IsTrue)
	c.Assert(unlimited.Find("y"), qt.IsNil)
}

// Guards against shares that consider one resource only, or ignore weights.
func TestShare(t *testing.T) {
	c := qt.New(t)
	limits := quota.Limits{Weights: map[string]float64{"heavy": 2, "broken": -1}}
	table := quota.NewTable(&limits, structs.Resources{MilliCores: 100, MemoryMB: 1000, Accelerators: 4})
	for team, want := range map[string]float64{"light": 0.5, "heavy": 0.25, "broken": 0.5} {
		table.OpenAccount(team).Charge(structs.Resources{MilliCores: 10, MemoryMB: 500, Accelerators: 1})
		c.Assert(table.OpenAccount(team).DominantShare(), qt.Equals, want)
	}
	c.Assert(table.OpenAccount("none").DominantShare(), qt.Equals, 0.0)
}

// Guards against a table that grows with every team name.
func TestTableIsBounded(t *testing.T) {
	c := qt.New(t)
	table := quota.NewTable(&quota.Limits{}, structs.Resources{MilliCores: 100})
	for i := range quota.MaxTeams + 5 {
		table.OpenAccount(fmt.Sprint(i)).Charge(structs.Resources{MilliCores: 1})
	}
	c.Assert(table.OpenAccount("one more").Used().MilliCores, qt.Equals, int64(5))
}
