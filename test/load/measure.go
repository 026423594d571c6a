package load

import (
	"context"
	"net/http"
	"time"
)

// sampleInterval is the interval at which memory is sampled during a step.
const sampleInterval = 100 * time.Millisecond

// Process identifies a measured process.
type Process struct {
	Name string
	PID  int
}

// StepUsage is the resource usage of a process during a step.
type StepUsage struct {
	// CPU is the processor time that was used.
	CPU time.Duration
	// Resident is the highest sampled resident memory, in bytes.
	Resident int64
}

// Measurement is the result of a step.
type Measurement struct {
	Step  Step
	Took  time.Duration
	Calls []Calls
	Usage []StepUsage
}

// Measure runs a step and measures the usage of processes during it.
func Measure(ctx context.Context, client *http.Client, step Step, targets []Target, processes []Process) (Measurement, error) {
	m := Measurement{Step: step, Usage: make([]StepUsage, len(processes))}
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
	ticker := time.NewTicker(sampleInterval)
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
			m.Usage[i] = StepUsage{CPU: usage.CPU - before[i].CPU, Resident: max(m.Usage[i].Resident, usage.Resident)}
		}
	}
	return m, ctx.Err()
}
