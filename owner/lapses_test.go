package owner

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/workflow/engine"
)

// Guards against a lapse whose line doesn't tell which of its runs may go on: those whose starts no answer has confirmed, and those under a
// stale lease that this owner doesn't count.
func TestLapseLineTellsWhatIsNotKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		term, scope, lines := loggedTerm(t)
		term.logLapses([]engine.Lapse{
			{Incarnation: "i-a@1", Tasks: 5, Source: engine.LeaseOfOwner, StaleLease: engine.StaleLeaseNone, Known: 8 * time.Second},
			{Incarnation: "i-b@2", Tasks: 3, Unconfirmed: 2, Moved: 1, Source: engine.LeaseOfOwner, StaleLease: engine.StaleLeaseUnknown, Known: engine.UnknownAge, SameID: true},
		})
		read := lines()
		c.Assert(read, qt.HasLen, 2)
		for i, want := range []map[string]any{
			{"executor": "i-a@1", "tasks": 5.0, "unconfirmed": 0.0, "moved": 0.0, "stale_lease": "none", "executor_known_ms": 8000.0, "same_id": false},
			{"executor": "i-b@2", "tasks": 3.0, "unconfirmed": 2.0, "moved": 1.0, "stale_lease": "unknown", "executor_known_ms": -1.0, "same_id": true},
		} {
			c.Assert(read[i]["@message"], qt.Equals, "tasks of an executor have lapsed")
			c.Assert(read[i]["lease_known_from"], qt.Equals, "owner")
			for field, value := range want {
				c.Assert(read[i][field], qt.Equals, value, qt.Commentf("field %s", field))
			}
		}
		counters := scope.Snapshot().Counters()
		c.Assert(counters["owner_lapsed_executors+"].Value(), qt.Equals, int64(2))
		c.Assert(counters["owner_lapsed_unconfirmed_runs+"].Value(), qt.Equals, int64(2))
	})
}
