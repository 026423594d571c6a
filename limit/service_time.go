package limit

import (
	"slices"
	"time"
)

const (
	// maxObservations is the number of service times that are remembered.
	maxObservations = 64
	// maxObservationAge is how long a service time counts. Without an end, an upstream that was slow once would stay refused
	// for all requests with short deadlines, since refused requests yield no new observation.
	maxObservationAge = 10 * time.Second
)

// serviceTimes remembers the newest service times of an upstream.
type serviceTimes struct {
	durations   [maxObservations]time.Duration
	at     [maxObservations]time.Time
	next   int
	cached serviceTimeSummary
	// validUntil is when the oldest observation in cached no longer counts.
	validUntil time.Time
}

// serviceTimeSummary holds the mean and the 10th and 90th percentile of the observed service times, or zeros when there are none.
// Waiting times follow from the mean: with the median, a queue of requests with exponential service times was a third too
// optimistic, and at 120% load 22% of the requests ran past their deadline instead of 11%.
type serviceTimeSummary struct {
	low, mean, high time.Duration
	count           int
}

func (t *serviceTimes) observe(took time.Duration, now time.Time) {
	t.durations[t.next], t.at[t.next] = took, now
	t.next = (t.next + 1) % maxObservations
	t.refresh(now)
}

func (t *serviceTimes) summary(now time.Time) serviceTimeSummary {
	if t.cached.count > 0 && !now.Before(t.validUntil) {
		t.refresh(now)
	}
	return t.cached
}

func (t *serviceTimes) refresh(now time.Time) {
	var buffer [maxObservations]time.Duration
	fresh := buffer[:0]
	t.validUntil = now.Add(maxObservationAge)
	for i, at := range t.at {
		until := at.Add(maxObservationAge)
		if at.IsZero() || !now.Before(until) {
			continue
		}
		if until.Before(t.validUntil) {
			t.validUntil = until
		}
		fresh = append(fresh, t.durations[i])
	}
	t.cached = serviceTimeSummary{count: len(fresh)}
	if len(fresh) == 0 {
		return
	}
	slices.Sort(fresh)
	var sum time.Duration
	for _, took := range fresh {
		sum += took
	}
	last := len(fresh) - 1
	t.cached.low, t.cached.mean, t.cached.high = fresh[last/10], sum/time.Duration(len(fresh)), fresh[last*9/10]
}
