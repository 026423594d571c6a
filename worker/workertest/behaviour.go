package workertest

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/quetzalshed/quetzalshed/structs"
)

// taskBehaviour is what a task does, as its command describes it: a list such as
// "run=20s cores=1500 memory=900 fail=0.5 latency=12". All parts are optional.
type taskBehaviour struct {
	// duration is the work of the task at full speed; 0 means that it never finishes.
	duration time.Duration
	// used is what the task really uses; by default what it declares.
	used structs.Resources
	// failAt is the progress at which the task fails, negative for never.
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

// checkpointID carries the progress, so that a checkpoint of one worker can be resumed on another.
func checkpointID(task string, progress float64) string {
	return fmt.Sprintf("%s@%.6f", task, progress)
}

// CheckpointProgress returns the progress that a checkpoint holds.
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
