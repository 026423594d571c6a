package interference

import (
	"slices"
	"time"
)

// Load is the fraction of a worker's processors that tasks of a batch class reserve, from 0 to 1.
type Load struct {
	Class string
	Share float64
}

// loadHistory holds the recent batch loads of one worker. Measurements arrive with a lag and must be matched with the loads
// at the time when they were taken.
type loadHistory struct {
	changes []loadChange
}

type loadChange struct {
	from  time.Time
	loads []Load
}

// record adds the loads from now on, and reports whether they differ from the previous ones.
func (h *loadHistory) record(loads []Load, now time.Time) bool {
	if n := len(h.changes); n > 0 && slices.Equal(h.changes[n-1].loads, loads) {
		return false
	}
	if len(h.changes) >= historyLength {
		h.changes = slices.Delete(h.changes, 0, 1)
	}
	h.changes = append(h.changes, loadChange{now, loads})
	return true
}

// at returns the loads at a time. It returns false if they aren't recorded or changed within the settle time before.
func (h *loadHistory) at(t time.Time, settle time.Duration) ([]Load, bool) {
	for i := len(h.changes) - 1; i >= 0; i-- {
		if from := h.changes[i].from; !from.After(t) {
			return h.changes[i].loads, t.Sub(from) >= settle
		}
	}
	return nil, false
}
