package main

import (
	"fmt"
	"time"
)

// crashLayout has seven executors, of which one at a time crashes: the share of the pages' largest dose, 0.14.
var crashLayout = layout{fronts: 3, sides: 7, cpu: 16000, kinds: []string{"a"}, routes: []map[string]any{route("r-build", "/build/", 2, 4)}}

func init() { register("crash", crashLayout, playCrash) }

const (
	// crashWork is how long the task of the job takes, crashAge how old its run is when its executor crashes, and crashDown how
	// long the executor is down.
	crashWork = 6 * time.Second
	crashAge  = 2 * time.Second
	crashDown = 1500 * time.Millisecond
	crashes   = 3
	// crashLimit is how long the job may take in all.
	crashLimit = 60 * time.Second
)

// playCrash hands in a job with one task and crashes, one after the other, the executors that run it. None of its runs fails.
func playCrash(f *fleet, trouble bool) (broken []string, err error) {
	f.shop.needOf = func(string) int64 { return 1800 }
	f.shop.workOf = func(string, string, int) work { return work{takes: crashWork, how: "done"} }
	id := newID()
	path := "/build/" + id
	if status := f.submit(path, job(step(1, 1800, crashWork, nil))); status != 200 {
		return nil, fmt.Errorf("the job wasn't accepted: %d", status)
	}
	if trouble {
		go f.crashUnder(id)
	}
	last := ""
	for deadline := time.Now().Add(crashLimit); time.Now().Before(deadline); time.Sleep(250 * time.Millisecond) {
		state := f.state(0, path)
		if state != last {
			f.rec.addf("GET %s: %s", path, state)
			last = state
		}
		if state == "completed" || state == "failed" || state == "cancelled" {
			break
		}
	}
	failures := 0
	for _, e := range f.shop.endsOf(id) {
		if e.how == "failed" {
			failures++
		}
	}
	f.rec.addf("the job is shown as %q; %d starts, %d ends `failed`, maxAttempts 4", last, len(f.shop.startsOf(id)), failures)
	if last == "failed" && failures < 4 {
		broken = append(broken, fmt.Sprintf("LOST: job %s is shown as `failed` after %d ends `failed`", id, failures))
	}
	if last != "failed" && last != "completed" {
		broken = append(broken, fmt.Sprintf("LOST: job %s isn't done after %v: %s", id, crashLimit, last))
	}
	return broken, nil
}

// crashUnder crashes the executor of the job crashAge after each of the first starts.
func (f *fleet) crashUnder(id string) {
	for seen := 0; seen < crashes; seen++ {
		var start startSeen
		for {
			if starts := f.shop.startsOf(id); len(starts) > seen {
				start = starts[seen]
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(time.Until(start.at.Add(crashAge)))
		for _, x := range f.executors {
			if x.name != start.executor {
				continue
			}
			x.crash()
			time.AfterFunc(crashDown, func() {
				if !f.isStopped() {
					_ = x.start()
				}
			})
		}
	}
}
