package main

import (
	"fmt"
	"time"
)

// savedLayout has eight executors, so that one is within a share of 0.14.
var savedLayout = layout{fronts: 3, sides: 8, cpu: 16000, kinds: []string{"a"}, routes: []map[string]any{route("r-build", "/build/", 2, 4)}}

func init() { register("saved", savedLayout, playSaved) }

const (
	savedGang = 3
	savedCPU  = 1800
	// savedWork is how long the gang works. One executor crashes savedAge after it has begun, and is down for savedDown.
	savedWork  = 6 * time.Second
	savedAge   = 2550 * time.Millisecond
	savedDown  = 3 * time.Second
	savedLimit = 45 * time.Second
	// nearTime is how long after a disruption ends don't count (contactMs).
	nearTime = 3 * time.Second
)

// playSaved submits a job with a gang whose tasks have checkpoints, and crashes the executor of one member while it works.
func playSaved(f *fleet, trouble bool) (broken []string, err error) {
	f.workload.needOf = func(string) int64 { return savedCPU }
	f.workload.workOf = func(string, string, int) work {
		return work{takes: savedWork, how: "done", gang: savedGang, saves: true}
	}
	id := newID()
	body := job(step(savedGang, savedCPU, savedWork, map[string]any{"gang": true, "antiAffinity": 1, "checkpointing": true}))
	if status := f.submit("/build/"+id, body); status != 200 {
		return nil, fmt.Errorf("the job wasn't accepted: %d", status)
	}
	up := time.Now()
	if trouble {
		up = f.crashMember(id)
	}
	f.awaitEnd([]string{id}, "/build/", savedLimit)
	alone := 0
	for _, e := range f.workload.endsOf(id) {
		// The run began to wait gangTimeout before its end.
		if e.how == "alone" && e.at.Add(-gangTimeout).After(up.Add(nearTime)) {
			if alone++; alone <= 3 {
				broken = append(broken, fmt.Sprintf("GANG: run %d of %s ends `alone` on %s, with all executors up since %v", e.run, e.task, e.executor, e.at.Sub(up).Round(time.Millisecond)))
			}
		}
	}
	f.rec.addf("%d starts, %d ends `alone` out of reach of the crash; the job is shown as %q", len(f.workload.startsOf(id)), alone, f.state(0, "/build/"+id))
	return broken, nil
}

// crashMember crashes the executor of the first member that has started, savedAge after its start. It returns when the executor is
// up again.
func (f *fleet) crashMember(id string) time.Time {
	for len(f.workload.startsOf(id)) < savedGang {
		time.Sleep(10 * time.Millisecond)
	}
	start := f.workload.startsOf(id)[0]
	time.Sleep(time.Until(start.at.Add(savedAge)))
	for _, x := range f.executors {
		if x.name == start.executor {
			x.crash()
			time.Sleep(savedDown)
			_ = x.start()
		}
	}
	return time.Now()
}
