package main

import (
	"fmt"
	"strings"
	"time"
)

var countLayout = layout{fronts: 3, sides: 4, cpu: 16000, kinds: []string{"a"}, routes: []map[string]any{route("r-check", "/check/", 0, 2)}}

func init() { register("count", countLayout, playCount) }

const (
	// overflowCount times overflowRepeats is 2 to the power of 64, which overflows a count of 64 bits.
	overflowCount   = int64(1) << 62
	overflowRepeats = 4
	// soundBefore and soundAfter are the numbers of ordinary jobs, so that one of 20 can never be done.
	soundBefore = 10
	soundAfter  = 9
	countWork   = 800 * time.Millisecond
	countLimit  = 40 * time.Second
	// The rule is broken if the processes of faultMachines machines have each ended by themselves faultEnds times. faultMachines is
	// a tenth of the machines, and at least two.
	faultEnds     = 3
	faultMachines = 2
)

// playCount submits a job that can never be done, beside ordinary ones.
func playCount(f *fleet, trouble bool) (broken []string, err error) {
	f.workload.needOf = func(string) int64 { return 240 }
	f.workload.workOf = func(string, string, int) work { return work{takes: countWork, how: "done"} }
	sound := func() string {
		path := "/check/" + newID()
		f.submit(path, job(step(4, 240, countWork, nil)))
		return path
	}
	var paths []string
	for range soundBefore {
		paths = append(paths, sound())
	}
	if trouble {
		impossible := job(step(1, 240, countWork, nil))
		impossible["steps"].([]map[string]any)[0]["count"] = overflowCount
		impossible["repeatCount"], impossible["startAtMs"], impossible["intervalMs"] = overflowRepeats, time.Now().UnixMilli(), 1000
		f.submit("/check/"+newID(), impossible)
	}
	for range soundAfter {
		paths = append(paths, sound())
	}
	longest := f.standstills(paths)
	for _, path := range paths {
		if longest[path] >= standstill {
			broken = append(broken, fmt.Sprintf("LOST: for %v job %s had nothing running while its turn had come and the executors were empty", longest[path].Round(time.Millisecond), path))
		}
	}
	counts := f.deathCounts()
	f.rec.addf("processes that have ended by themselves: %v", counts)
	machines := 0
	for _, ends := range counts {
		if ends >= faultEnds {
			machines++
		}
	}
	if machines >= faultMachines {
		broken = append(broken, fmt.Sprintf("Fault: on %d machines the process has ended by itself %d times or more", machines, faultEnds))
	}
	return broken, nil
}

// standstills asks for the states of jobs until all are completed or countLimit has passed. It returns the longest time without a
// break for which each of the others had nothing running, counted from finishTime after the last submission.
func (f *fleet) standstills(paths []string) map[string]time.Duration {
	states, longest, idleSince := map[string]string{}, map[string]time.Duration{}, map[string]time.Time{}
	submittedAt := time.Now()
	judgedFrom := submittedAt.Add(finishTime)
	for time.Since(submittedAt) < countLimit {
		done := 0
		for _, path := range paths {
			if states[path] == "completed" {
				done++
				continue
			}
			if f.isRunning(path[strings.LastIndexByte(path, '/')+1:]) || time.Now().Before(judgedFrom) {
				idleSince[path] = time.Now()
			}
			longest[path] = max(longest[path], time.Since(idleSince[path]))
			if state := f.state(0, path); state != states[path] {
				f.rec.addf("GET %s: %s", path, state)
				states[path] = state
			}
		}
		if done == len(paths) {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	return longest
}
