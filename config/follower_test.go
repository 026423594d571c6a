package config_test

import (
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/clock"
	"github.com/quetzalshed/quetzalshed/config"
)

func testHead(revision int64, out bool) config.Head {
	return config.Head{
		Revision: revision, Changes: []string{"c" + string(rune('a'+revision))}, StartFreshnessMillis: 3000,
		Domains: map[string]config.DomainState{"d": {Out: out, Workers: 1}},
	}
}

// Guards against a proof that confirms a head of another revision: a higher one, when a reply omits the head because
// its sender assumes that it is known, or a lower one, after data loss in the store.
func TestProofAppliesOnlyToHeldRevision(t *testing.T) {
	c := qt.New(t)
	manual := clock.NewManual(start)
	follower := config.NewFollower(manual)
	c.Assert(follower.ObserveHead(testHead(2, false)), qt.IsNil)
	ok, reason := follower.MayStart("d")
	c.Assert(ok, qt.IsFalse)
	c.Assert(reason, qt.Equals, "the configuration has not been confirmed")
	c.Assert(follower.ObserveProof(config.FreshnessProof{Revision: 3, AgeMillis: 0}, manual.Now()), qt.IsNil)
	_, confirmed := follower.ConfirmedAge()
	c.Assert(confirmed, qt.IsFalse)
	c.Assert(follower.ObserveProof(config.FreshnessProof{Revision: 1, AgeMillis: 0}, manual.Now()), qt.IsNil)
	c.Assert(follower.ObserveStore(testHead(1, false), manual.Now()), qt.IsNil)
	_, confirmed = follower.ConfirmedAge()
	c.Assert(confirmed, qt.IsFalse)
	c.Assert(follower.ObserveProof(config.FreshnessProof{Revision: 2, AgeMillis: 500}, manual.Now()), qt.IsNil)
	age, confirmed := follower.ConfirmedAge()
	c.Assert(confirmed, qt.IsTrue)
	c.Assert(age, qt.Equals, 500*time.Millisecond)
	manual.Advance(2500 * time.Millisecond)
	ok, _ = follower.MayStart("d")
	c.Assert(ok, qt.IsTrue)
	manual.Advance(time.Millisecond)
	ok, reason = follower.MayStart("d")
	c.Assert(ok, qt.IsFalse)
	c.Assert(reason, qt.Equals, "the configuration was confirmed 3.001s ago, and starts require 3s")
	_, reason = follower.MayStart("other")
	c.Assert(reason, qt.Equals, `failure domain "other" is not in the inventory`)
	c.Assert(follower.DomainOut("d"), qt.IsFalse)
	c.Assert(follower.ObserveHead(testHead(3, true)), qt.IsNil)
	c.Assert(follower.DomainOut("d"), qt.IsTrue)
	err := follower.ObserveStore(config.Head{Revision: 3, Changes: []string{"other"}}, manual.Now())
	c.Assert(errors.Is(err, config.ErrDivergedHeads), qt.IsTrue)
	ok, _ = follower.MayStart("d")
	c.Assert(ok, qt.IsFalse)
}

// Guards against ages that shrink through rounding as they are relayed, and against impossible ages.
func TestRelayedProofAges(t *testing.T) {
	c := qt.New(t)
	manual := clock.NewManual(start)
	follower := config.NewFollower(manual)
	c.Assert(follower.ObserveStore(testHead(1, false), manual.Now()), qt.IsNil)
	manual.Advance(1500 * time.Microsecond)
	c.Assert(follower.FreshnessProof(1), qt.DeepEquals, config.FreshnessProof{Revision: 1, AgeMillis: 2})
	c.Assert(follower.FreshnessProof(0).Head.Revision, qt.Equals, int64(1))
	head, other := testHead(1, false), testHead(2, false)
	for _, impossible := range []config.FreshnessProof{
		{Revision: 1, AgeMillis: -2},
		{Revision: 1, AgeMillis: 1 << 62},
		{Revision: -1},
		{Revision: 0, AgeMillis: 0},
		{Revision: 0, AgeMillis: config.UnconfirmedAge, Head: &head},
		{Revision: 1, Head: &other},
	} {
		c.Check(follower.ObserveProof(impossible, manual.Now()), qt.IsNotNil, qt.Commentf("%+v", impossible))
	}
}
