package load

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
)

// clockTick is the unit of processor times in /proc on Linux (USER_HZ, 100 on all supported architectures).
const clockTick = time.Second / 100

// Usage is the resource usage of a process.
type Usage struct {
	// CPU is the processor time since the start of the process, in user and kernel mode.
	CPU time.Duration
	// Resident is the resident memory in bytes.
	Resident int64
}

// ReadUsage returns the usage of a process from /proc.
func ReadUsage(pid int) (Usage, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return Usage{}, eris.Wrap(err, "reading the usage of a process")
	}
	return parseStat(stat, int64(os.Getpagesize()))
}

// parseStat parses the line of /proc/PID/stat. The program name, in parentheses, may contain spaces and parentheses.
func parseStat(stat []byte, pageBytes int64) (Usage, error) {
	const userField, systemField, pagesField = 11, 12, 21
	fields := bytes.Fields(stat[bytes.LastIndexByte(stat, ')')+1:])
	if len(fields) <= pagesField {
		return Usage{}, eris.Errorf("%q has too few fields", stat)
	}
	var numbers [3]int64
	for i, field := range []int{userField, systemField, pagesField} {
		n, err := strconv.ParseInt(string(fields[field]), 10, 64)
		if err != nil {
			return Usage{}, eris.Wrapf(err, "field %d of %q", field, stat)
		}
		numbers[i] = n
	}
	return Usage{CPU: time.Duration(numbers[0]+numbers[1]) * clockTick, Resident: numbers[2] * pageBytes}, nil
}
