package load

import (
	"math"
	"os"
	"runtime/debug"
	"sync/atomic"
	"time"
)

// defaultMemoryLimit is the default of the setting memory_limit in [process], in bytes.
const defaultMemoryLimit = 112_000_000

// garbage makes allocations escape to the heap.
var garbage atomic.Pointer[[]byte]

// measureResident returns the highest resident memory of this process, in MB of 10^6 bytes, under a memory limit of the Go
// runtime in bytes. In the meantime it allocates garbage like that of request bodies, about 64 MB per second for four
// seconds.
func measureResident(limit int64) (float64, error) {
	const body, times = 64 << 10, 4_000
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(limit))
	debug.FreeOSMemory()
	highest := int64(0)
	for n := range times {
		newest := AllocateResident(body)
		garbage.Store(&newest)
		time.Sleep(time.Millisecond)
		if n%100 == 0 {
			usage, err := ReadUsage(os.Getpid())
			if err != nil {
				return 0, err
			}
			highest = max(highest, usage.Resident)
		}
	}
	return float64(highest) / 1e6, nil
}

// Benchmark is the part of testing.B that ReportResident uses. Commands import this package too and don't need testing.
type Benchmark interface {
	Fatal(args ...any)
	ReportMetric(value float64, unit string)
}

// ReportResident reports the highest resident memory with and without the memory limit that processes set.
func ReportResident(b Benchmark) {
	report := func(name string, limit int64) {
		resident, err := measureResident(limit)
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(resident, name)
	}
	report("MB-resident", defaultMemoryLimit)
	report("MB-resident-without-limit", math.MaxInt64)
}

// AllocateResident allocates size bytes and writes to each page, so that all of them are resident.
func AllocateResident(size int) []byte {
	const page = 4096
	body := make([]byte, size)
	for i := 0; i < size; i += page {
		body[i] = 1
	}
	return body
}
