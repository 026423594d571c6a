// Package scheduler decides which worker runs which task. Plan is a pure function of a snapshot and a clock reading: it
// does no I/O, takes no lock and never sleeps, and the same snapshot gives the same plan. Filter and Score plug-ins
// register themselves in init; production code imports scheduler/plugins for its set of rules.
//
// The package itself enforces what must hold whatever plug-ins are registered: a plan never assigns a worker more than
// its capacity, never places a task on a worker that is unreported, draining or in a failure domain that is out of
// service, and places each task at most once.
package scheduler
