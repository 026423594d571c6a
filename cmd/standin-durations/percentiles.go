package main

import (
	"fmt"
	"io"
	"slices"
	"time"
)

// printPercentiles prints percentiles of durations on one line.
func printPercentiles(out io.Writer, title string, durations []time.Duration) {
	if len(durations) == 0 {
		fmt.Fprintf(out, "%-58s n=0\n", title)
		return
	}
	sorted := slices.Sorted(slices.Values(durations))
	fmt.Fprintf(out, "%-58s n=%-4d p50 %5d  p99 %5d  max %5d ms\n", title, len(sorted),
		percentile(sorted, 50).Milliseconds(), percentile(sorted, 99).Milliseconds(), sorted[len(sorted)-1].Milliseconds())
}

// percentile returns the smallest value that is at least as large as the given percentage of all values (nearest rank).
// sorted must not be empty.
func percentile(sorted []time.Duration, percent int) time.Duration {
	rank := (len(sorted)*percent + 99) / 100
	return sorted[max(0, rank-1)]
}
