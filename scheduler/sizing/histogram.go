package sizing

import (
	"math"
	"slices"
)

const (
	// firstBucket is the upper bound of the smallest bucket, in millicores or MB.
	firstBucket = 10
	// growth is the ratio between the bounds of neighbouring buckets. A percentile is at most this factor too high.
	growth = 1.08
	// buckets covers values up to about 3.6 million millicores or MB.
	buckets = 168
)

// histogram counts weighted values in buckets whose bounds grow by a constant factor.
type histogram struct {
	weights [buckets]float32
	total   float64
}

// bounds holds the largest value of each bucket.
var bounds = func() (b [buckets]int64) {
	for i := range b {
		b[i] = int64(firstBucket * math.Pow(growth, float64(i)))
	}
	return b
}()

// bucketOf returns the bucket of a value; the last one takes everything above it.
func bucketOf(value int64) int {
	bucket, _ := slices.BinarySearch(bounds[:], value)
	return min(bucket, buckets-1)
}

func (h *histogram) add(value int64, weight float64) {
	h.weights[bucketOf(value)] += float32(weight)
	h.total += weight
}

// percentile returns the upper bound of the bucket that holds the given part of the weight, or 0 without values.
func (h *histogram) percentile(part float64) int64 {
	if h.total <= 0 {
		return 0
	}
	sum, last := 0.0, 0
	for i, weight := range h.weights {
		if weight <= 0 {
			continue
		}
		sum += float64(weight)
		last = i
		if sum >= part*h.total {
			break
		}
	}
	return bounds[last]
}

func (h *histogram) scale(factor float64) {
	h.total = 0
	for i := range h.weights {
		h.weights[i] *= float32(factor)
		h.total += float64(h.weights[i])
	}
}
