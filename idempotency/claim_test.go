package idempotency

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/quetzalshed/quetzalshed/clock"
	"github.com/quetzalshed/quetzalshed/limit"
	"github.com/quetzalshed/quetzalshed/store"
	"github.com/quetzalshed/quetzalshed/store/storetest"
	"github.com/quetzalshed/quetzalshed/test/rapidtest"
)

func TestMain(m *testing.M) {
	rapidtest.Main(m, map[string]string{"seed": "20261204"})
}

var ctx = context.Background()

func newRecorder(kv store.Store, now clock.Clock) *Recorder {
	return NewRecorder(Options{
		Store: kv, Clock: now, WriteRate: limit.NewRateLimiter(1e6, 1e6), Retention: 24 * time.Hour, CallTimeout: time.Second,
	})
}

func assign(c *Claim, attempt string) error {
	return c.Assign(ctx, "agent", "one", "127.0.0.1:1", attempt)
}

// Guards against an attempt that starts without a record, or doesn't start although it has one, after a lost response
// or an outage of the store.
func TestAssignUnderFaults(t *testing.T) {
	for _, test := range []struct {
		name      string
		fault     storetest.WriteFault
		readsDown bool
		want      error
	}{
		{"works", storetest.NoFault, false, nil},
		{"down", storetest.Unavailable, false, ErrNotRecorded},
		{"response lost", storetest.ResponseLost, false, nil},
		{"request lost", storetest.RequestLost, false, ErrNotRecorded},
		{"response lost and reads down", storetest.ResponseLost, true, ErrNotRecorded},
		{"applied late", storetest.AppliedLate, false, ErrNotRecorded},
	} {
		for _, reassigned := range []bool{false, true} {
			t.Run(fmt.Sprint(test.name, reassigned), func(t *testing.T) {
				kv := storetest.New(clock.System{})
				claim := newRecorder(kv, clock.System{}).NewClaim("price", "key", "hash")
				if reassigned {
					qt.Assert(t, assign(claim, "first"), qt.IsNil)
				}
				kv.SetPutFaults(test.fault)
				kv.SetFaults(storetest.Faults{ReadsDown: test.readsDown})
				err := assign(claim, "second")
				qt.Assert(t, errors.Is(err, test.want), qt.IsTrue, qt.Commentf("%v", err))
			})
		}
	}
}

// Guards against two requests with the same key that both run, and against reuse of a key for different content.
func TestExistingRecord(t *testing.T) {
	kv := storetest.New(clock.System{})
	one, two := newRecorder(kv, clock.System{}), newRecorder(kv, clock.System{})
	qt.Assert(t, assign(one.NewClaim("price", "key", "hash"), "first"), qt.IsNil)
	claim := two.NewClaim("price", "key", "hash")
	var exists *ExistsError
	qt.Assert(t, errors.As(assign(claim, "second"), &exists), qt.IsTrue)
	qt.Assert(t, exists.Found.Record, qt.Equals, Record{
		Agent: "agent", Incarnation: "one", Address: "127.0.0.1:1", AttemptID: "first", RequestHash: "hash",
	})
	qt.Assert(t, assign(two.NewClaim("price", "key", "other"), "third"), qt.Equals, ErrKeyReused)
	qt.Assert(t, assign(two.NewClaim("quote", "key", "other"), "fourth"), qt.IsNil)
	// Of two claims that adopt the same revision, only the first can replace the record.
	late := two.NewClaim("price", "key", "hash")
	claim.Adopt(exists.Found)
	late.Adopt(exists.Found)
	qt.Assert(t, assign(claim, "fifth"), qt.IsNil)
	qt.Assert(t, errors.As(assign(late, "sixth"), &exists), qt.IsTrue)
	qt.Assert(t, exists.Found.Record.AttemptID, qt.Equals, "fifth")
}

// Guards against records that expire before their retention, and against a lease call for each record.
func TestHourlyLeases(t *testing.T) {
	now := clock.NewManual(time.Unix(1_700_000_000, 0))
	kv := storetest.New(now)
	recorder := newRecorder(kv, now)
	for i := range 20 {
		qt.Assert(t, assign(recorder.NewClaim("price", fmt.Sprint(i), "hash"), "a"), qt.IsNil)
		now.Advance(10 * time.Minute)
	}
	qt.Assert(t, kv.LeaseTTLs(), qt.HasLen, 4)
	for _, ttl := range kv.LeaseTTLs() {
		qt.Assert(t, ttl, qt.Equals, 25*time.Hour)
	}
	// Each record is attached to a lease.
	qt.Assert(t, kv.CountKeys(keyPrefix), qt.Equals, 20)
	kv.ExpireLeases()
	qt.Assert(t, kv.CountKeys(keyPrefix), qt.Equals, 0)
	// If the store no longer has the lease, it is replaced within the same call.
	qt.Assert(t, assign(recorder.NewClaim("price", "after", "hash"), "a"), qt.IsNil)
}

// Guards against an entry that uses up the write capacity of the store for the whole fleet.
func TestRecordRate(t *testing.T) {
	recorder := newRecorder(storetest.New(clock.System{}), clock.NewManual(time.Unix(1_700_000_000, 0)))
	recorder.opts.WriteRate = limit.NewRateLimiter(2, 1)
	qt.Assert(t, assign(recorder.NewClaim("price", "a", "hash"), "a"), qt.IsNil)
	var rate *RateError
	qt.Assert(t, errors.As(assign(recorder.NewClaim("price", "b", "hash"), "b"), &rate), qt.IsTrue)
	qt.Assert(t, rate.RetryAfter, qt.Equals, 500*time.Millisecond)
}

// Guards against two attempts of one key that may both run, under random orders of claims by several entries,
// replacement of attempts that have certainly not run, and writes that are lost or applied late. The set of attempts
// that were sent and not cancelled must never have more than one member.
func TestAtMostOneLiveAttempt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		kv := storetest.New(clock.System{})
		recorders := []*Recorder{newRecorder(kv, clock.System{}), newRecorder(kv, clock.System{}), newRecorder(kv, clock.System{})}
		claims := make([]*Claim, len(recorders))
		for i, recorder := range recorders {
			claims[i] = recorder.NewClaim("price", "key", "hash")
		}
		live, cancelled, sequence := map[string]bool{}, map[string]bool{}, 0
		which := rapid.IntRange(0, len(claims)-1)
		t.Repeat(map[string]func(*rapid.T){
			"assign": func(t *rapid.T) {
				i := which.Draw(t, "entry")
				kv.SetPutFaults(storetest.WriteFault(rapid.IntRange(0, storetest.WriteFaults-1).Draw(t, "fault")))
				kv.SetFaults(storetest.Faults{ReadsDown: rapid.Bool().Draw(t, "reads down")})
				// The forwarder assigns a new attempt only when its previous one has certainly not run.
				if held := claims[i].current.Record.AttemptID; live[held] {
					delete(live, held)
					cancelled[held] = true
				}
				sequence++
				attempt := fmt.Sprint("attempt-", sequence)
				err := assign(claims[i], attempt)
				kv.SetFaults(storetest.Faults{ReadsDown: false})
				var exists *ExistsError
				switch {
				case err == nil && !cancelled[attempt]:
					live[attempt] = true
				case errors.As(err, &exists):
					if rapid.Bool().Draw(t, "resolve") {
						recorded := exists.Found.Record.AttemptID
						if live[recorded] && rapid.Bool().Draw(t, "has run") {
							return
						}
						delete(live, recorded)
						cancelled[recorded] = true
						claims[i].Adopt(exists.Found)
					}
				}
			},
			"late": func(*rapid.T) { kv.ReleaseHeld() },
			"restart": func(t *rapid.T) {
				i := which.Draw(t, "entry")
				claims[i] = recorders[i].NewClaim("price", "key", "hash")
			},
			"": func(t *rapid.T) {
				if len(live) > 1 {
					t.Fatalf("attempts %v may all run", live)
				}
			},
		})
	})
}
