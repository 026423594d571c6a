package workertest

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/quetzalshed/quetzalshed/structs"
)

// taskBehaviour is the simulated behaviour of a task. It is parsed from the task's command, a list such as
// "run=20s cores=1500 memory=900 fail=0.5 latency=12". All parts are optional; cores are in thousandths of a core.
type taskBehaviour struct {
	// duration is the run time of the task at full speed; 0 means that it never finishes.
	duration time.Duration
	// used is the actual resource usage, by default the declared resources.
	used structs.Resources
	// failAt is the progress at which the task fails; negative means never.
	failAt float64
	// latencyMillis is the tail latency that a service reports.
	latencyMillis float64
}

func parseBehaviour(command string, declared structs.Resources) (taskBehaviour, error) {
	b := taskBehaviour{used: declared, failAt: -1}
	for _, part := range strings.Fields(command) {
		key, value, found := strings.Cut(part, "=")
		if !found {
			continue
		}
		var err error
		switch key {
		case "run":
			b.duration, err = time.ParseDuration(value)
		case "cores":
			b.used.MilliCores, err = strconv.ParseInt(value, 10, 64)
		case "memory":
			b.used.MemoryMB, err = strconv.ParseInt(value, 10, 64)
		case "fail":
			b.failAt, err = strconv.ParseFloat(value, 64)
		case "latency":
			b.latencyMillis, err = strconv.ParseFloat(value, 64)
		}
		if err != nil {
			return b, fmt.Errorf("command part %q: %w", part, err)
		}
	}
	return b, nil
}

// checkpointID encodes the progress in the ID, so that a checkpoint of one worker can be resumed on another.
func checkpointID(task string, progress float64) string {
	return fmt.Sprintf("%s@%.6f", task, progress)
}

// CheckpointProgress returns the progress encoded in a checkpoint ID, and 0 for an empty one.
func CheckpointProgress(checkpoint string) (float64, error) {
	if checkpoint == "" {
		return 0, nil
	}
	_, text, found := strings.Cut(checkpoint, "@")
	if !found {
		return 0, fmt.Errorf("checkpoint %q is unknown", checkpoint)
	}
	return strconv.ParseFloat(text, 64)
}
