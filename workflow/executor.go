package workflow

import (
	"slices"
	"strconv"
	"strings"

	"github.com/go-json-experiment/json/jsontext"

	"github.com/quetzalshed/quetzalshed/structs"
)

// TaskID names a task of a job.
type TaskID struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// String returns the name JOB.OCCURRENCE.STEP.INDEX, by which executors know the task.
func (t TaskID) String() string {
	b := make([]byte, 0, 32)
	b = append(b, t.Job...)
	for _, n := range [...]int{t.Occurrence, t.Step, t.Index} {
		b = append(b, '.')
		b = strconv.AppendInt(b, int64(n), 10)
	}
	return string(b)
}

// ParseTaskID reads the form that String returns.
func ParseTaskID(s string) (TaskID, bool) {
	parts := strings.Split(s, ".")
	if len(parts) != 4 {
		return TaskID{}, false
	}
	var numbers [3]int
	for i, p := range parts[1:] {
		n, err := strconv.Atoi(p)
		if err != nil || n < 0 {
			return TaskID{}, false
		}
		numbers[i] = n
	}
	return TaskID{Job: parts[0], Occurrence: numbers[0], Step: numbers[1], Index: numbers[2]}, true
}

// Executor describes one incarnation of an executor, as it announces itself to the agent on its host.
type Executor struct {
	ID string `json:"id"`
	// StartedUnixMillis is when the incarnation started, in milliseconds since 1970. An ID may return in a new incarnation.
	StartedUnixMillis int64             `json:"born"`
	Pool              string            `json:"pool"`
	FailureDomain     string            `json:"failure_domain"`
	Capacity          structs.Resources `json:"capacity"`
	// Labels hold the kind of the host and its rack.
	Labels []string `json:"labels,omitempty"`
	// Unpaced tells that the executor can't slow down the tasks that fill it.
	Unpaced bool `json:"unpaced,omitempty"`
	// Draining tells that the executor ends soon, at the earliest after RemainingMillis.
	Draining        bool  `json:"draining,omitempty"`
	RemainingMillis int64 `json:"remaining_ms,omitempty"`
}

// IncarnationID returns the name of the incarnation.
func (e *Executor) IncarnationID() string { return FormatIncarnationID(e.ID, e.StartedUnixMillis) }

// FormatIncarnationID returns the name of an incarnation of an executor.
func FormatIncarnationID(id string, bornUnixMillis int64) string {
	return id + "@" + strconv.FormatInt(bornUnixMillis, 10)
}

// HasLabel tells whether the executor has a label.
func (e *Executor) HasLabel(label string) bool { return slices.Contains(e.Labels, label) }

// EndReason tells how a run ended.
type EndReason string

// Ends of runs.
const (
	// EndDone means that the task has finished.
	EndDone EndReason = "done"
	// EndFailed means that the task or its executor failed.
	EndFailed EndReason = "failed"
	// EndStopped means that the run was stopped by an order.
	EndStopped EndReason = "stopped"
	// EndLapsed means that the lease of the executor ran out.
	EndLapsed EndReason = "lapsed"
	// EndBroken means that another member of the gang ended.
	EndBroken EndReason = "broken"
	// EndAlone means that the other members of the gang did not appear in time.
	EndAlone EndReason = "alone"
)

// RunState is a run that an executor lists as running.
type RunState struct {
	Task string
	Run  int
	// Saved is the newest checkpoint; empty for none.
	Saved string
	// Percent is the progress of the run, or the share of its work for a long-running task.
	Percent float64
	// Usage is the tail latency in milliseconds of a serving task, else the processor time in thousandths of a core.
	Usage float64
}

// MarshalJSON writes the row [task, run, saved, percent, usage]; the last two have one decimal.
func (r RunState) MarshalJSON() ([]byte, error) {
	b := make([]byte, 0, 64)
	b = append(b, '[')
	b = appendString(b, r.Task)
	b = append(b, ',')
	b = strconv.AppendInt(b, int64(r.Run), 10)
	b = append(b, ',')
	b = appendString(b, r.Saved)
	b = append(b, ',')
	b = appendDecimal(b, r.Percent)
	b = append(b, ',')
	b = appendDecimal(b, r.Usage)
	return append(b, ']'), nil
}

// UnmarshalJSON reads the form that MarshalJSON writes.
func (r *RunState) UnmarshalJSON(data []byte) error { return unmarshalRow(data, r) }

// UnmarshalJSONFrom reads the same form.
func (r *RunState) UnmarshalJSONFrom(dec *jsontext.Decoder) error {
	return readRow(dec, 5, &r.Task, &r.Run, &r.Saved, &r.Percent, &r.Usage)
}

// RunEnd is the end of a run as an executor lists it until it is acknowledged.
type RunEnd struct {
	// Number counts the ends of an incarnation from 1.
	Number int64
	Task   string
	Run    int
	How    EndReason
	Saved  string
}

// MarshalJSON writes the row [number, task, run, how, saved].
func (r RunEnd) MarshalJSON() ([]byte, error) {
	b := make([]byte, 0, 64)
	b = append(b, '[')
	b = strconv.AppendInt(b, r.Number, 10)
	b = append(b, ',')
	b = appendString(b, r.Task)
	b = append(b, ',')
	b = strconv.AppendInt(b, int64(r.Run), 10)
	b = append(b, ',')
	b = appendString(b, string(r.How))
	b = append(b, ',')
	b = appendString(b, r.Saved)
	return append(b, ']'), nil
}

// UnmarshalJSON reads the form that MarshalJSON writes.
func (r *RunEnd) UnmarshalJSON(data []byte) error { return unmarshalRow(data, r) }

// UnmarshalJSONFrom reads the same form.
func (r *RunEnd) UnmarshalJSONFrom(dec *jsontext.Decoder) error {
	how := ""
	err := readRow(dec, 5, &r.Number, &r.Task, &r.Run, &how, &r.Saved)
	r.How = EndReason(how)
	return err
}
