package load

import (
	"context"
	"net/http"
	"time"
)

// sampleEvery is how often memory is read during a step.
const sampleEvery = 100 * time.Millisecond

// Process is a process that is measured.
type Process struct {
	Name string
	PID  int
}

// Used is what a process used during a step.
type Used struct {
	// CPU is the processor time during the step.
	CPU time.Duration
	// Resident is the highest resident memory that was seen, in bytes.
	Resident int64
}

// Measured is what a step came to.
type Measured struct {
	Step  Step
	Took  time.Duration
	Calls []Calls
	Used  []Used
}

// Measure runs a step and measures processes meanwhile.
func Measure(ctx context.Context, client *http.Client, step Step, targets []Target, processes []Process) (Measured, error) {
	m := Measured{Step: step, Used: make([]Used, len(processes))}
	before := make([]Usage, len(processes))
	for i, p := range processes {
		usage, err := ReadUsage(p.PID)
		if err != nil {
			return m, err
		}
		before[i] = usage
	}
	start := time.Now()
	done := make(chan struct{})
	go func() {
		defer close(done)
		m.Calls = Run(ctx, client, step, targets)
	}()
	ticker := time.NewTicker(sampleEvery)
	defer ticker.Stop()
	for running := true; running; {
		select {
		case <-done:
			running = false
			m.Took = time.Since(start)
		case <-ticker.C:
		}
		for i, p := range processes {
			usage, err := ReadUsage(p.PID)
			if err != nil {
				<-done
				return m, err
			}
			m.Used[i] = Used{CPU: usage.CPU - before[i].CPU, Resident: max(m.Used[i].Resident, usage.Resident)}
		}
	}
	return m, ctx.Err()
}
