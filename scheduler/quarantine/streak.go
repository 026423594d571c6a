package quarantine

import "time"

// streakThreshold is the number of failures in a row from which a worker takes one task at a time. A worker that fails a task
// at once is empty again at once, so that without this it takes most tasks of a job before other jobs have failed there.
const streakThreshold = 3

// streak counts failures in a row on one worker that only the worker explains.
type streak struct {
	failures int
	pauseEnd time.Time
}

func (s *streak) recordFailure(config *Config, now time.Time) {
	s.failures++
	if !s.active() {
		return
	}
	pause := config.MaxStreakPause
	if shift := s.failures - streakThreshold; shift < 16 {
		pause = min(pause, config.StreakPause<<shift)
	}
	s.pauseEnd = now.Add(pause)
}

// active tells whether the worker takes one task at a time, after a pause.
func (s *streak) active() bool { return s.failures >= streakThreshold }
