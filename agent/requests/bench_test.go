package requests

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/quetzalshed/quetzalshed/clock"
	"github.com/quetzalshed/quetzalshed/limit"
	"github.com/quetzalshed/quetzalshed/structs"
	"github.com/quetzalshed/quetzalshed/test/load"
)

// BenchmarkAdmit measures the cost of an attempt from its arrival to its end, without I/O.
func BenchmarkAdmit(b *testing.B) {
	l := newAttemptTracker(defaultTableLimits, clock.System{})
	admission := limit.NewAdmission(limit.QueueLimits{Slots: 8, MaxWaiting: 32}, clock.System{})
	n := uint64(0)
	b.ReportAllocs()
	for b.Loop() {
		n++
		a := &attempt{id: structs.AttemptID("entry", n), cancelled: make(chan struct{}), done: make(chan struct{})}
		l.arrive(a)
		ticket := admission.Enter(limit.Request{ID: a.id, Rank: 1, Deadline: time.Now().Add(time.Second)})
		<-ticket.Ready()
		if _, err := l.apply(a.id, begin); err != nil {
			b.Fatal(err)
		}
		_ = l.finish(a.id, &response{})
		ticket.Done(time.Millisecond)
	}
}

// BenchmarkRequest measures a complete request over a new connection from the entry, with an upstream that responds
// immediately.
func BenchmarkRequest(b *testing.B) {
	a := newTestAgent(b, nil)
	b.ReportAllocs()
	for b.Loop() {
		a.mustSend(call{id: a.nextID(), body: "body", header: map[string]string{structs.HeaderIdempotent: "true"}})
	}
}

func heap() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// BenchmarkMemory reports the memory per record of an attempt without a response, and per retained response of 1 KiB.
func BenchmarkMemory(b *testing.B) {
	for b.Loop() {
		before := heap()
		l := newAttemptTracker(defaultTableLimits, clock.System{})
		for n := range defaultTableLimits.Records {
			_, _ = l.apply(structs.AttemptID("0123456789abcdef", uint64(n)), resolve)
		}
		records := heap()
		b.ReportMetric((records-before)/float64(defaultTableLimits.Records), "B/record")
		other := newAttemptTracker(defaultTableLimits, clock.System{})
		for n := range defaultTableLimits.Responses {
			id := fmt.Sprintf("fedcba9876543210-%016x", n)
			other.arrive(&attempt{id: id})
			_, _ = other.apply(id, begin)
			_ = other.finish(id, &response{body: make([]byte, 1024)})
		}
		b.ReportMetric((heap()-records)/float64(defaultTableLimits.Responses), "B/answer-of-1KiB")
		runtime.KeepAlive(l)
		runtime.KeepAlive(other)
	}
}

// BenchmarkFullTables reports the memory of each bounded table of the agent's request path when it is full, in MB of 10^6
// bytes.
func BenchmarkFullTables(b *testing.B) {
	const bodyBytes, mb = 24 << 20, 1e6
	for b.Loop() {
		start := heap()
		// One record of each entry incarnation was dropped, so that all watermarks are in use. The IDs have the maximum
		// length.
		records := newAttemptTracker(defaultTableLimits, clock.System{})
		for n := range defaultTableLimits.Records + defaultTableLimits.Watermarks {
			_, _ = records.apply(structs.AttemptID(fmt.Sprintf("%079x", n%defaultTableLimits.Watermarks), uint64(n+1)), resolve)
		}
		after := heap()
		b.ReportMetric((after-start)/mb, "MB-records")
		answers := newAttemptTracker(defaultTableLimits, clock.System{})
		size := defaultTableLimits.ResponseBytes/int64(defaultTableLimits.Responses) - responseOverhead
		for n := range defaultTableLimits.Responses {
			id := structs.AttemptID("entry", uint64(n))
			answers.arrive(&attempt{id: id})
			_, _ = answers.apply(id, begin)
			_ = answers.finish(id, &response{body: load.AllocateResident(int(size))})
		}
		_, retained, _ := answers.sizes()
		if retained != defaultTableLimits.Responses {
			b.Fatal(retained)
		}
		before := after
		after = heap()
		b.ReportMetric((after-before)/mb, "MB-responses")
		budget, bodies := byteBudget{limit: bodyBytes}, [][]byte{}
		for budget.tryReserve(structs.MaxRequestBody) {
			bodies = append(bodies, load.AllocateResident(structs.MaxRequestBody))
		}
		before = after
		after = heap()
		b.ReportMetric((after-before)/mb, "MB-bodies")
		// Unacknowledged task results as the agent's runner keeps them, at its limit of 4096.
		results := map[string]structs.TaskResult{}
		for n := range 4096 {
			id := fmt.Sprintf("%064x", n)
			results[id] = structs.TaskResult{
				AllocationID: id, Task: structs.TaskID{JobID: fmt.Sprintf("%064d", n)}, State: structs.TaskFinished,
				CheckpointID: fmt.Sprintf("%064o", n), Reason: fmt.Sprintf("%0200d", n),
			}
		}
		before = after
		after = heap()
		b.ReportMetric((after-before)/mb, "MB-results")
		b.ReportMetric((after-start)/mb, "MB-sum")
		load.ReportResident(b)
		runtime.KeepAlive(records)
		runtime.KeepAlive(answers)
		runtime.KeepAlive(bodies)
		runtime.KeepAlive(results)
	}
}
