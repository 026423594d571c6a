package routing

import "time"

// AnnouncePacing computes the interval between the announcements of an agent, so that the announcements of all agents stay
// within the entry's budget for control traffic.
type AnnouncePacing struct {
	// BytesPerSecond is the budget for received announcements. If it isn't positive, the interval is Min.
	BytesPerSecond int
	// Min and Max bound the interval. At Max the traffic may exceed the budget, because with a longer interval a restarted
	// entry would have no upstreams for too long.
	Min, Max time.Duration
}

// validityIntervals is how many intervals an announcement stays valid, so that two successive ones may be lost.
const validityIntervals = 3

func (p AnnouncePacing) interval(totalBytes int) time.Duration {
	if p.BytesPerSecond <= 0 {
		return p.Min
	}
	needed := time.Duration(totalBytes) * time.Second / time.Duration(p.BytesPerSecond)
	return min(max(needed, p.Min), p.Max)
}

func (p AnnouncePacing) validity(interval time.Duration) time.Duration {
	return validityIntervals * interval
}
