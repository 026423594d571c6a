// Package soak runs the programs as separate processes in real time, injects faults that are drawn from a seed, and checks that
// no task runs twice or starts where it may not run. A stand-in plays the platform's store, the executors and the clients; all traffic
// crosses loopback proxies.
package soak

import (
	"bytes"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"
)

var (
	seedFlag     = flag.Uint64("soak.seed", 1, "seed of the load and the faults")
	secondsFlag  = flag.Int("soak.seconds", 45, "seconds during which faults are injected")
	kindsFlag    = flag.String("soak.kinds", "", "comma-separated kinds of faults; a drawn selection if empty")
	programsFlag = flag.String("soak.programs", "", "directory of the built programs; they are built if empty")
	dirFlag      = flag.String("soak.dir", "", "directory that keeps the logs of failed runs, in a subdirectory for each seed")
	listFlag     = flag.Bool("soak.list", false, "print the kinds of faults and play nothing")
	keepFlag     = flag.Bool("soak.keep", false, "keep the logs of runs without findings, too")
)

// settleTime is how long a run goes on after the last fault, so that late acknowledgements are seen.
const settleTime = 12 * time.Second

// maxExplained is how many findings are listed and explained at most. The journal names all of them.
const maxExplained = 25

// minStartsPerSecond is how many starts a run must have on average; some 100 come without faults.
const minStartsPerSecond = 10

func TestSoak(t *testing.T) {
	if *listFlag {
		for _, kind := range slices.Sorted(maps.Keys(faultKinds)) {
			fmt.Println("kind", kind)
		}
		return
	}
	dir := runDirectory(t)
	record, err := openJournal(filepath.Join(dir, "journal.txt"))
	if err != nil {
		t.Fatal(err)
	}
	defer record.close()
	f := startFleet(t, dir, record)
	defer f.stop()
	clients := startClients(f, rand.New(rand.NewPCG(*seedFlag, 1)))
	injectFaults(f, rand.New(rand.NewPCG(*seedFlag, 2)), chosenKinds(t), time.Duration(*secondsFlag)*time.Second)
	time.Sleep(settleTime)
	clients.stop()
	f.stop()
	summary := fmt.Sprintf("%s; %s; at most %d connections to an executor", f.oracle.summary(), clients.summary(), f.peakConnections())
	record.addf("%s", summary)
	t.Log(summary)
	if starts, constrained := f.oracle.counts(); starts < minStartsPerSecond**secondsFlag || constrained < *secondsFlag {
		t.Errorf("only %d starts, %d at limits or with labels, so that the run shows nothing", starts, constrained)
	}
	reportFindings(t, f)
	reportCrashes(t, dir)
	if !t.Failed() && !*keepFlag && *dirFlag != "" {
		_ = os.RemoveAll(dir)
	}
}

func startFleet(t *testing.T, dir string, record *journal) *fleet {
	programs := *programsFlag
	if programs == "" {
		programs = buildPrograms(t)
	}
	f, err := newFleet(rand.New(rand.NewPCG(*seedFlag, 0)), record, dir, programs)
	if err != nil {
		t.Fatal(err)
	}
	if err := f.start(); err != nil {
		f.stop()
		t.Fatalf("fleet not started, logs in %s: %v", dir, err)
	}
	return f
}

// reportFindings fails the test for each finding, and explains the first ones in files.
func reportFindings(t *testing.T, f *fleet) {
	findings := f.oracle.findings()
	for i, finding := range findings[:min(len(findings), maxExplained)] {
		path := filepath.Join(f.dir, "finding-"+strconv.Itoa(i+1)+".txt")
		if err := f.explain(path, finding); err != nil {
			t.Error(err)
		}
		t.Errorf("%s; see %s", finding.what, path)
	}
	if len(findings) > maxExplained {
		t.Errorf("%d findings in all", len(findings))
	}
}

// reportCrashes fails the test for each log of a process that shows a panic or a data race.
func reportCrashes(t *testing.T, dir string) {
	logs, err := filepath.Glob(filepath.Join(dir, "*.log"))
	if err != nil {
		t.Error(err)
	}
	for _, path := range logs {
		data, err := os.ReadFile(path)
		if err != nil {
			t.Error(err)
		}
		for _, sign := range []string{"WARNING: DATA RACE", "panic: ", "fatal error: ", "the owner's state is broken"} {
			if bytes.Contains(data, []byte(sign)) {
				t.Errorf("%q in %s", sign, path)
			}
		}
	}
}

func buildPrograms(t *testing.T) string {
	dir := t.TempDir()
	build := exec.Command("go", "build", "-o", dir+string(filepath.Separator), "../../cmd/quetzalshed-gateway", "../../cmd/quetzalshed-node")
	if output, err := build.CombinedOutput(); err != nil {
		t.Fatalf("programs not built: %v\n%s", err, output)
	}
	return dir
}

func runDirectory(t *testing.T) string {
	if *dirFlag == "" {
		dir, err := os.MkdirTemp("", "soak-")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() {
			if !t.Failed() {
				_ = os.RemoveAll(dir)
			}
		})
		return dir
	}
	dir, err := filepath.Abs(filepath.Join(*dirFlag, strconv.FormatUint(*seedFlag, 10)))
	if err != nil {
		t.Fatal(err)
	}
	_ = os.RemoveAll(dir)
	if err := os.MkdirAll(dir, 0o755); err != nil {
		t.Fatal(err)
	}
	return dir
}

func chosenKinds(t *testing.T) []string {
	if *kindsFlag == "" {
		return nil
	}
	kinds := strings.Split(*kindsFlag, ",")
	for _, kind := range kinds {
		if faultKind(kind) == nil {
			t.Fatalf("no fault kind %q", kind)
		}
	}
	return kinds
}
