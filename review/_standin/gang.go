package main

import (
	"fmt"
	"strings"
	"time"
)

// gangOf returns the key of the gang of a run: its step, its run number and the checkpoint that it resumes from, which all members
// must carry.
func gangOf(r *run) string {
	step := r.task[:strings.LastIndexByte(r.task, '.')]
	return fmt.Sprintf("%s#%d#%s", step, r.run, r.start)
}

// gather adds a run to its gang. The members begin once all of them are present; a member that has waited gangTimeout ends alone.
func (w *workload) gather(r *run) {
	w.mu.Lock()
	key := gangOf(r)
	if w.gangs[key] == nil {
		w.gangs[key] = map[string]*run{}
	}
	w.gangs[key][r.task] = r
	members := w.membersOf(key)
	w.mu.Unlock()
	if len(members) < r.work.gang {
		r.gangTimer = time.AfterFunc(gangTimeout, func() {
			r.life.x.mu.Lock()
			defer r.life.x.mu.Unlock()
			if r.begun.IsZero() {
				r.life.end(r, "alone")
			}
		})
		return
	}
	for _, m := range members {
		m.life.x.mu.Lock()
		if m.begun.IsZero() {
			m.begin()
		}
		m.life.x.mu.Unlock()
	}
}

func (w *workload) membersOf(key string) []*run {
	var members []*run
	for _, m := range w.gangs[key] {
		members = append(members, m)
	}
	return members
}

// endGang ends a gang by the end of one of its members: together if it is done, and otherwise the others are broken.
func (w *workload) endGang(r *run) {
	if r.work.how == "done" {
		w.mu.Lock()
		members := w.membersOf(gangOf(r))
		w.mu.Unlock()
		for _, m := range members {
			if m.work.how != "done" {
				return
			}
		}
		r.life.x.mu.Lock()
		r.life.end(r, "done")
		r.life.x.mu.Unlock()
		return
	}
	r.life.x.mu.Lock()
	r.life.end(r, r.work.how)
	r.life.x.mu.Unlock()
	w.breakGang(r)
}

// breakGang ends the other members of a gang of which one has ended.
func (w *workload) breakGang(r *run) {
	w.mu.Lock()
	members := w.membersOf(gangOf(r))
	w.mu.Unlock()
	for _, m := range members {
		if m == r {
			continue
		}
		m.life.x.mu.Lock()
		m.life.end(m, "broken")
		m.life.x.mu.Unlock()
	}
}
