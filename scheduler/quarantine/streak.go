package quarantine

import "time"

// streakThreshold is the number of consecutive failures from which a worker gets only one task at a time. A worker that
// fails tasks immediately always has free capacity, so without this limit it would take most tasks of a job before enough
// other jobs have failed on it to quarantine it.
const streakThreshold = 3

// streak counts consecutive failures on a worker, without those of jobs that also failed on other workers.
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

// active reports whether the worker gets only one task at a time, each after a pause.
func (s *streak) active() bool { return s.failures >= streakThreshold }
