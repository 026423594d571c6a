// Command fleet plays one case of the review: it starts a gateway and some nodes as separate processes on loopback addresses, beside
// stand-ins of the store, the executors and the clients, and checks one rule by what these have seen. It exits with 1 if the rule was
// broken, 0 if it held, and 2 if the case couldn't run. With TROUBLE=0 in the environment, the disruption is left out.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// playTimeout limits a play, which may take 120 s.
const playTimeout = 115 * time.Second

// Exit codes.
const (
	held = iota
	broken
	notRun
)

// verdict is the result of a case.
type verdict struct {
	isBroken bool
	text     string
}

// cases holds the cases by name.
var cases = map[string]func(d *deployment, trouble bool) (verdict, error){
	"stop":    ownerStopsAfterFreeze,
	"done":    lastingTaskEndsDone,
	"late":    cancelledBeforeLateWrite,
	"orders":  manyStartsAtOnce,
	"crashes": crashesCountAsAttempts,
	"drain":   drainingExecutorCutOff,
	"gang":    gangFailsOnce,
	"long":    longCheckpoints,
}

func main() {
	name := flag.String("case", "", "the case to play")
	path := flag.String("record", "record.txt", "the file for what was sent, answered and run")
	programs := flag.String("programs", "target", "the folder with the programs of the project")
	keep := flag.String("keep", "", "a folder for the settings and logs of the processes; a temporary one if empty")
	flag.Parse()
	os.Exit(run(*name, *path, *programs, *keep))
}

func run(name, path, programs, keep string) int {
	play, known := cases[name]
	if !known {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", name)
		return notRun
	}
	r, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer r.flush()
	dir := keep
	if dir == "" {
		if dir, err = os.MkdirTemp("", "review"); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return notRun
		}
		defer os.RemoveAll(dir)
	}
	d := &deployment{record: r, dir: dir, programs: programs}
	defer d.stop()
	type result struct {
		verdict verdict
		err     error
	}
	results, signals := make(chan result, 1), make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		v, err := play(d, os.Getenv("TROUBLE") != "0")
		results <- result{v, err}
	}()
	var got result
	select {
	case got = <-results:
	case <-time.After(playTimeout):
		got.err = fmt.Errorf("the play takes too long")
	case s := <-signals:
		got.err = fmt.Errorf("stopped by %v", s)
	}
	switch {
	case got.err != nil:
		r.addf("not run: %v", got.err)
		fmt.Println("not run:", got.err)
		return notRun
	case got.verdict.isBroken:
		r.addf("rule broken: %s", got.verdict.text)
		fmt.Println("rule broken:", got.verdict.text)
		return broken
	}
	r.addf("rule held: %s", got.verdict.text)
	fmt.Println("rule held:", got.verdict.text)
	return held
}
