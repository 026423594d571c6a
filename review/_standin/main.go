// Command standin plays one case of the review: it starts the project's programs as separate processes, stands in for the
// platform's store, the executors, the clients and the platform itself, and checks one rule.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit statuses of a case.
const (
	statusHeld   = 0
	statusBroken = 1
	statusNotRun = 2
)

// scenario plays a case. It returns the ways in which the rule was broken. trouble is false if the case runs without its
// disruption. An error means that the case could not run.
type scenario func(f *fleet, trouble bool) (broken []string, err error)

// scenarios holds the cases by name. The file of each case registers it.
var scenarios = map[string]registration{}

type registration struct {
	layout layout
	play   scenario
}

func register(name string, l layout, play scenario) { scenarios[name] = registration{l, play} }

func main() { os.Exit(playCase()) }

func playCase() int {
	recordPath := flag.String("record", "record.txt", "file to which the events of the case are written")
	flag.Parse()
	s, known := scenarios[flag.Arg(0)]
	if !known {
		fmt.Fprintln(os.Stderr, "usage: standin [-record FILE] CASE")
		return statusNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec, err := openRecord(*recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusNotRun
	}
	defer rec.close()
	rec.addf("case %s, trouble %v", flag.Arg(0), trouble)
	f, err := newFleet(s.layout, rec)
	if err != nil {
		rec.addf("the case can't run: %v", err)
		return statusNotRun
	}
	defer f.stop()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		f.stop()
		os.Exit(statusNotRun)
	}()
	if err := f.start(); err != nil {
		rec.addf("the case can't run: %v", err)
		return statusNotRun
	}
	broken, err := s.play(f, trouble)
	switch {
	case err != nil:
		rec.addf("the case can't run: %v", err)
		return statusNotRun
	case len(broken) > 0:
		for _, b := range broken {
			rec.addf("RULE BROKEN: %s", b)
		}
		return statusBroken
	}
	rec.addf("the rule held")
	return statusHeld
}
