package interference

import (
	"slices"
	"time"
)

// Load is the part of a worker's processors that tasks of a batch class reserve, from 0 to 1.
type Load struct {
	Class string
	Share float64
}

// history remembers the batch loads of one worker over time, since measurements arrive with a lag and must be matched
// with what ran when they were taken.
type history struct {
	records []record
}

type record struct {
	from  time.Time
	loads []Load
}

// set records the loads from now on, and tells whether they differ from the last ones.
func (h *history) set(loads []Load, now time.Time) bool {
	if n := len(h.records); n > 0 && slices.Equal(h.records[n-1].loads, loads) {
		return false
	}
	if len(h.records) >= historyLength {
		h.records = slices.Delete(h.records, 0, 1)
	}
	h.records = append(h.records, record{now, loads})
	return true
}

// at returns the loads at a time, if they are remembered and had not changed for the settling time before.
func (h *history) at(t time.Time, settle time.Duration) ([]Load, bool) {
	for i := len(h.records) - 1; i >= 0; i-- {
		if from := h.records[i].from; !from.After(t) {
			return h.records[i].loads, t.Sub(from) >= settle
		}
	}
	return nil, false
}
