package colocation

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// MinShare is the smallest CPU share that counts. Usage is measured less precisely than that.
	MinShare = 0.01
	// endedShare is the share below which an image without tasks is removed. It is below MinShare, so that an image near MinShare
	// keeps its share between samples.
	endedShare = MinShare / 2
	// latencyTime is the time constant with which measured latencies recover once a disturbance has ended: executors report the
	// tail latency of the last half second, in which few slow responses outweigh many fast ones.
	latencyTime = 500 * time.Millisecond
	// maxImages limits the images of an executor. Those with the smallest shares are removed, which matter least.
	maxImages = 64
)

// Share is the share of an executor's CPU that the tasks of a best-effort image use, from 0 to 1.
type Share struct {
	Image string
	CPU   float64
}

// Exposure holds the CPU shares of the best-effort images on one executor as they show in the latencies of its serving tasks.
// Latencies rise as soon as a best-effort task disturbs, since they are tail latencies, and recover with a time constant. The zero
// value has no images.
type Exposure struct {
	// images is sorted by name.
	images []exposedImage
	shares []Share
	at     time.Time
}

// exposedImage is the share of an image that shows in latencies. current is the one last measured.
type exposedImage struct {
	Share
	current float64
}

// Observe passes the CPU shares that tasks use now. Several of one image add up. It doesn't keep the slice.
func (x *Exposure) Observe(current []Share, now time.Time) {
	for i := range x.images {
		x.images[i].current = 0
	}
	for _, s := range current {
		x.image(s.Image).current += s.CPU
	}
	decay := 1 - math.Exp(-now.Sub(x.at).Seconds()/latencyTime.Seconds())
	x.at = now
	for i := range x.images {
		x.images[i].follow(decay)
	}
	x.images = slices.DeleteFunc(x.images, exposedImage.hasEnded)
	x.limit()
	x.shares = x.shares[:0]
	for i := range x.images {
		if x.images[i].CPU >= MinShare {
			x.shares = append(x.shares, x.images[i].Share)
		}
	}
}

// Shares returns the shares, sorted by image. They are valid until the next call of Observe.
func (x *Exposure) Shares() []Share { return x.shares }

// At returns the time of the last call of Observe, or the zero time.
func (x *Exposure) At() time.Time { return x.at }

// image returns the entry of an image, which it adds if there is none. The entry is valid until the next call.
func (x *Exposure) image(name string) *exposedImage {
	i, found := slices.BinarySearchFunc(x.images, name, func(e exposedImage, name string) int { return cmp.Compare(e.Image, name) })
	if !found {
		x.images = slices.Insert(x.images, i, exposedImage{Share: Share{Image: name}})
	}
	return &x.images[i]
}

// follow raises the share to the current one at once, or lowers it by a fraction of the difference.
func (e *exposedImage) follow(decay float64) {
	if e.current > e.CPU {
		decay = 1
	}
	e.CPU += decay * (e.current - e.CPU)
}

func (e exposedImage) hasEnded() bool { return e.current == 0 && e.CPU < endedShare }

// limit removes the smallest shares beyond maxImages.
func (x *Exposure) limit() {
	for len(x.images) > maxImages {
		smallest := 0
		for i := range x.images {
			if x.images[i].CPU < x.images[smallest].CPU {
				smallest = i
			}
		}
		x.images = slices.Delete(x.images, smallest, smallest+1)
	}
}
