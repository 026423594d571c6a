package requests

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/quetzalshed/quetzalshed/clock"
	"github.com/quetzalshed/quetzalshed/limit"
	"github.com/quetzalshed/quetzalshed/structs"
)

// BenchmarkAdmit measures what an attempt costs between its arrival and the start of its send, without I/O.
func BenchmarkAdmit(b *testing.B) {
	l := newLedger(defaultTableLimits, clock.System{})
	admission := limit.NewAdmission(limit.QueueLimits{Slots: 8, Waiting: 32}, clock.System{})
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

// BenchmarkRequest measures a whole request over a new connection from the entry, with an upstream that responds at once.
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

// BenchmarkMemory prints the memory per record of an attempt without a response, and per retained response of 1 KiB.
func BenchmarkMemory(b *testing.B) {
	for b.Loop() {
		before := heap()
		l := newLedger(defaultTableLimits, clock.System{})
		for n := range defaultTableLimits.Records {
			_, _ = l.apply(structs.AttemptID("0123456789abcdef", uint64(n)), resolve)
		}
		records := heap()
		b.ReportMetric((records-before)/float64(defaultTableLimits.Records), "B/record")
		other := newLedger(defaultTableLimits, clock.System{})
		for n := range defaultTableLimits.Answers {
			id := fmt.Sprintf("fedcba9876543210-%016x", n)
			other.arrive(&attempt{id: id})
			_, _ = other.apply(id, begin)
			_ = other.finish(id, &response{body: make([]byte, 1024)})
		}
		b.ReportMetric((heap()-records)/float64(defaultTableLimits.Answers), "B/answer-of-1KiB")
		runtime.KeepAlive(l)
		runtime.KeepAlive(other)
	}
}
