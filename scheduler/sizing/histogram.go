package sizing

import (
	"math"
	"slices"
)

const (
	// firstBucketBound is the upper bound of the smallest bucket, in millicores or MB.
	firstBucketBound = 10
	// bucketGrowth is the ratio between the bounds of adjacent buckets. A percentile is too high by at most this
	// factor.
	bucketGrowth = 1.08
	// bucketCount covers values up to about 3.6 million millicores or MB.
	bucketCount = 168
)

// histogram counts weighted values in buckets whose bounds grow by a constant factor.
type histogram struct {
	weights [bucketCount]float32
	total   float64
}

// bucketBounds holds the largest value of each bucket.
var bucketBounds = func() (b [bucketCount]int64) {
	for i := range b {
		b[i] = int64(firstBucketBound * math.Pow(bucketGrowth, float64(i)))
	}
	return b
}()

// bucketOf returns the bucket of a value. The last bucket takes all larger values.
func bucketOf(value int64) int {
	bucket, _ := slices.BinarySearch(bucketBounds[:], value)
	return min(bucket, bucketCount-1)
}

func (h *histogram) add(value int64, weight float64) {
	h.weights[bucketOf(value)] += float32(weight)
	h.total += weight
}

// percentile returns the upper bound of the bucket in which the given fraction of the total weight is reached, or 0
// without values.
func (h *histogram) percentile(fraction float64) int64 {
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
		if sum >= fraction*h.total {
			break
		}
	}
	return bucketBounds[last]
}

func (h *histogram) scale(factor float64) {
	h.total = 0
	for i := range h.weights {
		h.weights[i] *= float32(factor)
		h.total += float64(h.weights[i])
	}
}
