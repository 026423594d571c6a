package workflow

import (
	"slices"
	"strconv"
	"strings"

	"github.com/go-json-experiment/json/jsontext"

	"github.com/quetzalshed/quetzalshed/structs"
)

// TaskID identifies a task of a job.
type TaskID struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// String returns the form JOB.OCCURRENCE.STEP.INDEX, by which executors identify the task.
func (t TaskID) String() string {
	b := make([]byte, 0, 32)
	b = append(b, t.Job...)
	for _, n := range [...]int{t.Occurrence, t.Step, t.Index} {
		b = append(b, '.')
		b = strconv.AppendInt(b, int64(n), 10)
	}
	return string(b)
}

// ParseTaskID parses the form that String returns.
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
	// StartedUnixMillis is when the incarnation started, in milliseconds since 1970. An ID may be used again by a later
	// incarnation.
	StartedUnixMillis int64             `json:"born"`
	Pool              string            `json:"pool"`
	FailureDomain     string            `json:"failure_domain"`
	Capacity          structs.Resources `json:"capacity"`
	// Labels contain the kind of the host and its rack.
	Labels []string `json:"labels,omitempty"`
	// Unpaced is set if the executor can't throttle its best-effort tasks.
	Unpaced bool `json:"unpaced,omitempty"`
	// Draining is set if the executor will shut down, at the earliest after RemainingMillis.
	Draining        bool  `json:"draining,omitempty"`
	RemainingMillis int64 `json:"remaining_ms,omitempty"`
	// EndAnnounced is set if the end of an executor under this ID was announced. The announcement may be late and concern a former
	// incarnation.
	EndAnnounced bool `json:"end_announced,omitempty"`
	// Left is set once the executor has shut down as planned. Everything that ran on the incarnation has ended.
	Left bool `json:"left,omitempty"`
}

// MayEnd reports whether the executor may end at any moment, so that it gets no starts.
func (e *Executor) MayEnd() bool { return e.Draining || e.EndAnnounced }

// IncarnationID returns the identifier of the incarnation.
func (e *Executor) IncarnationID() string { return FormatIncarnationID(e.ID, e.StartedUnixMillis) }

// FormatIncarnationID returns the identifier of an incarnation of an executor, in the form ID@STARTED.
func FormatIncarnationID(id string, startedUnixMillis int64) string {
	return id + "@" + strconv.FormatInt(startedUnixMillis, 10)
}

// HasLabel reports whether the executor has a label.
func (e *Executor) HasLabel(label string) bool { return slices.Contains(e.Labels, label) }

// EndReason is the way in which a run ended.
type EndReason string

// Reasons for the end of a run.
const (
	// EndDone means that the run finished its task.
	EndDone EndReason = "done"
	// EndFailed means that the task or its executor failed.
	EndFailed EndReason = "failed"
	// EndStopped means that the run was stopped by an order.
	EndStopped EndReason = "stopped"
	// EndLapsed means that the lease of the executor expired.
	EndLapsed EndReason = "lapsed"
	// EndBroken means that the run of another gang member ended.
	EndBroken EndReason = "broken"
	// EndAlone means that the other gang members did not appear in time.
	EndAlone EndReason = "alone"
)

// RunState is the state of a run that an executor lists as running.
type RunState struct {
	Task string
	Run  int
	// Saved is the newest checkpoint; empty if there is none.
	Saved string
	// Percent is the progress of the run, or the share of its work that a long-running task gets done.
	Percent float64
	// Usage is the tail latency of a serving task in milliseconds, or the CPU use of any other task in millicores.
	Usage float64
}

// MarshalJSON encodes the row [task, run, saved, percent, usage]; the last two have one decimal.
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

// RunEnd is the end of a run. An executor lists it until it is acknowledged.
type RunEnd struct {
	// Number is the position of the end among those of the incarnation, starting at 1.
	Number int64
	Task   string
	Run    int
	How    EndReason
	Saved  string
}

// MarshalJSON encodes the row [number, task, run, how, saved].
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
