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

func (c imageCounts) count(image string) int {
	for i := range c {
		if c[i].image == image {
			return c[i].tasks
		}
	}
	return 0
}

func (n *node) addTask(t *task) {
	t.node = n
	n.headroomsAt = time.Time{}
	n.reserved = n.reserved.Add(t.step.Reserved())
	if t.step.BestEffort {
		n.bestEffortDemand += t.step.Need.MilliCores
	}
	if t.step.TargetMillis > 0 {
		n.servingCount++
		n.servingImages.add(t.step.Image, 1)
		n.servingReserved += t.step.Need.MilliCores
	}
}

func (n *node) removeTask(t *task) {
	n.headroomsAt = time.Time{}
	n.reserved = n.reserved.Sub(t.step.Reserved())
	if t.step.BestEffort {
		n.bestEffortDemand -= t.step.Need.MilliCores
	}
	if t.step.TargetMillis > 0 {
		n.servingCount--
		n.servingImages.add(t.step.Image, -1)
		n.servingReserved -= t.step.Need.MilliCores
	}
	t.node = nil
	t.group.lowestAt = time.Time{}
}
