package routing

import "time"

// AnnouncePacing spreads announcements so that their total stays within the control budget of an entry.
type AnnouncePacing struct {
	// BytesPerSecond is the budget for received announcements.
	BytesPerSecond int
	// Min and Max bound the interval. At Max the total may exceed the budget: a longer interval would leave a restarted
	// entry without upstreams for too long.
	Min, Max time.Duration
}

// validityIntervals is how many intervals an announcement stays valid; two may be lost on the way.
const validityIntervals = 3

func (p AnnouncePacing) interval(totalBytes int) time.Duration {
	if p.BytesPerSecond <= 0 {
		return p.Min
	}
	needed := time.Duration(totalBytes) * time.Second / time.Duration(p.BytesPerSecond)
	return min(max(needed, p.Min), p.Max)
}

func (p AnnouncePacing) validity(interval time.Duration) time.Duration { return validityIntervals * interval }
