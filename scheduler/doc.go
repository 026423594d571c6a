// Package scheduler assigns tasks to workers. Plan is a pure function of a snapshot and a time: it does no I/O, takes
// no lock and never sleeps, and equal snapshots give equal plans. Filter and Score plug-ins register themselves in
// init; production code imports scheduler/plugins for the standard set.
//
// The package enforces three rules itself, whatever plug-ins are registered: a plan never assigns a worker more than
// its capacity, never places a task on a worker that has not reported, is draining or is in a failure domain that is
// out of service, and places each task at most once.
package scheduler
