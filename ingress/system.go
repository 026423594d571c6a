package ingress

import (
	"math"
	"os"
	"strconv"
	"strings"
	"syscall"
)

// MaxFiles returns the number of file descriptors that the process may open, or 0 if it is unknown.
func MaxFiles() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 0
	}
	return int(min(limit.Cur, math.MaxInt32))
}

// systemMemoryMB returns the memory of the machine in MB, or 0 if it is unknown.
func systemMemoryMB() int64 {
	info, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return 0
	}
	return memoryMB(string(info))
}

// memoryMB returns the total memory in a text of the form of /proc/meminfo in MB, or 0 if it has none.
func memoryMB(info string) int64 {
	const bytesPerKB = 1 << 10
	_, rest, _ := strings.Cut(info, "MemTotal:")
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return 0
	}
	kb, err := strconv.ParseInt(fields[0], 10, 64)
	if err != nil {
		return 0
	}
	return kb * bytesPerKB / MB
}
