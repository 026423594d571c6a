package engine

import (
	"slices"
	"time"
)

// imageCounts counts tasks by image. An executor has few images, so a list is faster than a map.
type imageCounts []imageCount

type imageCount struct {
	image string
	tasks int
}

func (c *imageCounts) add(image string, tasks int) {
	for i := range *c {
		if (*c)[i].image != image {
			continue
		}
		if (*c)[i].tasks += tasks; (*c)[i].tasks == 0 {
			*c = slices.Delete(*c, i, i+1)
		}
		return
	}
	*c = append(*c, imageCount{image, tasks})
}

func (c imageCounts) of(image string) int {
	for i := range c {
		if c[i].image == image {
			return c[i].tasks
		}
	}
	return 0
}

func (n *node) add(t *task) {
	t.node = n
	n.headroomsAt = time.Time{}
	n.used = n.used.Add(t.step.Reserved())
	if t.step.Fills {
		n.filling += t.step.Need.MilliCores
	}
	if t.step.TargetMillis > 0 {
		n.serving++
		n.servingImages.add(t.step.Image, 1)
		n.reservedServing += t.step.Need.MilliCores
	}
}

func (n *node) remove(t *task) {
	n.headroomsAt = time.Time{}
	n.used = n.used.Sub(t.step.Reserved())
	if t.step.Fills {
		n.filling -= t.step.Need.MilliCores
	}
	if t.step.TargetMillis > 0 {
		n.serving--
		n.servingImages.add(t.step.Image, -1)
		n.reservedServing -= t.step.Need.MilliCores
	}
	t.node = nil
	t.group.quietAt = time.Time{}
}
