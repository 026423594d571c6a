package load

import (
	"os"
	"runtime/debug"
	"sync/atomic"
	"time"
)

// ProcessMemoryLimit is the default of the setting memory_limit in [process], in bytes.
const ProcessMemoryLimit = 112_000_000

// garbage keeps allocations on the heap; otherwise they would be placed on the stack.
var garbage atomic.Pointer[[]byte]

// Resident returns the highest resident memory of this process in MB of 10^6 bytes while it makes garbage as bodies do, of
// about 64 MB a second for four seconds, under a memory limit of the runtime in bytes.
func Resident(limit int64) (float64, error) {
	const body, times = 64 << 10, 4_000
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(limit))
	debug.FreeOSMemory()
	highest := int64(0)
	for n := range times {
		newest := Touched(body)
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

// Touched returns memory of a size in bytes of which each page is resident.
func Touched(size int) []byte {
	const page = 4096
	body := make([]byte, size)
	for i := 0; i < size; i += page {
		body[i] = 1
	}
	return body
}
