package workflow

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/go-json-experiment/json/jsontext"
)

// Phase is the state of a job as clients see it.
type Phase string

// Phases of a job.
const (
	Pending   Phase = "pending"
	Running   Phase = "running"
	Completed Phase = "completed"
	Failed    Phase = "failed"
	Cancelled Phase = "cancelled"
)

// Final reports whether the phase is terminal.
func (p Phase) Final() bool { return p == Completed || p == Failed || p == Cancelled }

// TaskPhase is the state of a task in the record of its job.
type TaskPhase int

// Phases of a task.
const (
	// TaskWaiting means that the task has no run.
	TaskWaiting TaskPhase = iota
	// TaskAssigned means that a run may exist on the recorded executor incarnation.
	TaskAssigned
	// TaskDone means that the task has finished. A run of it may still exist on the recorded executor incarnation, if there is one.
	TaskDone
)

// TaskRecord is the stored state of a task that has been started at least once.
type TaskRecord struct {
	Occurrence int
	Step       int
	Index      int
	Phase      TaskPhase
	// Run is the number of the newest run.
	Run int
	// Life is the executor incarnation that the newest run was assigned to, and Node is its host; both are empty once it has ended.
	Life string
	Node string
	// Failures is the number of failed runs. A failed run of a gang counts for one of its members, also if several have listed it as failed.
	Failures int
	// Saved is the newest known checkpoint.
	Saved string
	// Crashes is the number of runs in a row that ended with a crash of their executors, and Suspicions the number of those in
	// which the task may have been the cause.
	Crashes    int
	Suspicions int
	// Reassigned is set if the newest run was ordered to a former incarnation of the executor and may have reached Life.
	Reassigned bool
	// FailedRun is the last run of a gang that counts in Failures; 0 for other tasks.
	FailedRun int
}

// MarshalJSON encodes the record as an array without trailing empty cells, since a job may have thousands of tasks.
func (t TaskRecord) MarshalJSON() ([]byte, error) { return t.appendJSON(nil), nil }

// requiredCells is the number of cells that every row has.
const requiredCells = 5

func (t *TaskRecord) appendJSON(b []byte) []byte {
	b = append(b, '[')
	for i, n := range [...]int{t.Occurrence, t.Step, t.Index, int(t.Phase), t.Run} {
		if i > 0 {
			b = append(b, ',')
		}
		b = strconv.AppendInt(b, int64(n), 10)
	}
	texts := [...]string{t.Life, t.Saved, t.Node}
	last := len(texts)
	hasCounts := t.Crashes > 0 || t.Reassigned || t.FailedRun > 0
	for last > 0 && texts[last-1] == "" && !hasCounts {
		last--
	}
	if last > 0 || t.Failures > 0 {
		b = append(b, ',')
		b = strconv.AppendInt(b, int64(t.Failures), 10)
	}
	for _, text := range texts[:last] {
		b = append(b, ',')
		b = appendString(b, text)
	}
	if hasCounts {
		b = append(b, ',')
		b = strconv.AppendInt(b, int64(t.Crashes), 10)
		b = append(b, ',')
		b = strconv.AppendInt(b, int64(t.Suspicions), 10)
	}
	if t.Reassigned || t.FailedRun > 0 {
		b = append(b, ',', '0')
		if t.Reassigned {
			b[len(b)-1] = '1'
		}
	}
	if t.FailedRun > 0 {
		b = append(b, ',')
		b = strconv.AppendInt(b, int64(t.FailedRun), 10)
	}
	return append(b, ']')
}

// UnmarshalJSON reads the form that MarshalJSON writes.
func (t *TaskRecord) UnmarshalJSON(data []byte) error { return unmarshalRow(data, t) }

// UnmarshalJSONFrom reads the same form.
func (t *TaskRecord) UnmarshalJSONFrom(dec *jsontext.Decoder) error {
	phase, reassigned := 0, 0
	err := readExtensibleRow(dec, requiredCells, &t.Occurrence, &t.Step, &t.Index, &phase, &t.Run, &t.Failures, &t.Life, &t.Saved, &t.Node, &t.Crashes, &t.Suspicions, &reassigned, &t.FailedRun)
	t.Phase, t.Reassigned = TaskPhase(phase), reassigned != 0
	return err
}

// JobRecord is the stored progress of a job.
type JobRecord struct {
	Phase Phase        `json:"phase"`
	Tasks []TaskRecord `json:"tasks,omitempty"`
	// Begun is set if an executor had confirmed or listed a start of a task when the record was written.
	Begun bool `json:"begun,omitempty"`
	// EndedUnixMillis is when the job reached a final phase, in milliseconds since 1970.
	EndedUnixMillis int64 `json:"ended_unix_ms,omitempty"`
}

// Encode returns the record as JSON. It writes all rows in one pass; encoding/json would validate the output of each
// row's MarshalJSON again.
func (r *JobRecord) Encode() []byte {
	const bytesPerRow = 64
	b := make([]byte, 0, bytesPerRow*(len(r.Tasks)+1))
	b = append(b, `{"phase":`...)
	b = appendString(b, string(r.Phase))
	if len(r.Tasks) > 0 {
		b = append(b, `,"tasks":[`...)
		for i := range r.Tasks {
			if i > 0 {
				b = append(b, ',')
			}
			b = r.Tasks[i].appendJSON(b)
		}
		b = append(b, ']')
	}
	if r.Begun {
		b = append(b, `,"begun":true`...)
	}
	if r.EndedUnixMillis != 0 {
		b = append(b, `,"ended_unix_ms":`...)
		b = strconv.AppendInt(b, r.EndedUnixMillis, 10)
	}
	return append(b, '}')
}

// EncodeWithin returns the record as JSON of at most the given number of bytes. If it would be longer, it lacks the longest checkpoints, of
// which dropped is the number; their tasks start from the beginning under the next owner. It is longer only if it is without checkpoints.
func (r *JobRecord) EncodeWithin(maxBytes int) (encoded []byte, dropped int) {
	encoded = r.Encode()
	excess := len(encoded) - maxBytes
	if excess <= 0 {
		return encoded, 0
	}
	shorter := *r
	shorter.Tasks = slices.Clone(r.Tasks)
	longest := make([]*TaskRecord, len(shorter.Tasks))
	for i := range shorter.Tasks {
		longest[i] = &shorter.Tasks[i]
	}
	slices.SortStableFunc(longest, func(a, b *TaskRecord) int { return cmp.Compare(len(b.Saved), len(a.Saved)) })
	for _, t := range longest {
		if excess <= 0 || t.Saved == "" {
			break
		}
		excess -= len(t.Saved)
		t.Saved = ""
		dropped++
	}
	return shorter.Encode(), dropped
}
