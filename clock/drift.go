package clock

import "time"

// LongestOnSlowClock returns how long a time lasts at most that is measured by an executor's clock, which may be 2% slow.
func LongestOnSlowClock(d time.Duration) time.Duration { return d * 100 / 98 }
