package clock

import "time"

// slowestPercent is the speed of the slowest clock of an executor, relative to that of its host.
const slowestPercent = 98

// LongestOnSlowClock returns how long a time lasts at most that is measured by an executor's clock.
func LongestOnSlowClock(d time.Duration) time.Duration { return d * 100 / slowestPercent }

// ShortestOnSlowClock returns by how much an executor's clock advances at least in a time.
func ShortestOnSlowClock(d time.Duration) time.Duration { return d * slowestPercent / 100 }
