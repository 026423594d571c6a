// Package sizing derives reservations from the observed usage of job classes, since declared sizes are far off.
package sizing

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/quetzalshed/quetzalshed/structs"
)

// MaxClasses limits the classes of a model. A new class replaces the one that was observed least recently.
const MaxClasses = 1024

// Config holds the parameters of a model. A zero field means its default.
type Config struct {
	// CorePercentile and MemoryPercentile are the fractions of usage samples that the reservation covers. Memory has
	// the higher one: a task short of processors is slow, a task short of memory is killed.
	CorePercentile   float64
	MemoryPercentile float64
	// CoreHeadroom and MemoryHeadroom are factors applied to the percentile.
	CoreHeadroom   float64
	MemoryHeadroom float64
	// HalfLife is the age at which a sample has half its weight.
	HalfLife time.Duration
	// MinSamples is the weight of samples below which the reservation stays within a factor of MaxRatio of the
	// declared size.
	MinSamples float64
	// MaxRatio is the factor by which few samples may raise or lower the declared size.
	MaxRatio float64
}

// Defaults of Config.
const (
	DefaultCorePercentile   = 0.95
	DefaultMemoryPercentile = 0.99
	DefaultCoreHeadroom     = 1.10
	DefaultMemoryHeadroom   = 1.15
	DefaultHalfLife         = 2 * time.Hour
	DefaultMinSamples       = 60
	DefaultMaxRatio         = 2
)

// Smallest reservation of a class, so that an idle class still gets something.
const (
	minMilliCores = 10
	minMemoryMB   = 16
)

// rescaleExponent is the exponent, to base 2, of a new sample's weight at which existing weights are scaled down. It
// keeps float32 sums accurate.
const rescaleExponent = 16

func (c Config) withDefaults() Config {
	c.CorePercentile = cmp.Or(c.CorePercentile, DefaultCorePercentile)
	c.MemoryPercentile = cmp.Or(c.MemoryPercentile, DefaultMemoryPercentile)
	c.CoreHeadroom = cmp.Or(c.CoreHeadroom, DefaultCoreHeadroom)
	c.MemoryHeadroom = cmp.Or(c.MemoryHeadroom, DefaultMemoryHeadroom)
	c.HalfLife = cmp.Or(c.HalfLife, DefaultHalfLife)
	c.MinSamples = cmp.Or(c.MinSamples, DefaultMinSamples)
	c.MaxRatio = cmp.Or(c.MaxRatio, DefaultMaxRatio)
	return c
}

// Model learns the usage of job classes from samples that arrive with a lag. It is not safe for concurrent use.
type Model struct {
	config  Config
	classes map[string]*classUsage
}

// classUsage holds samples with weight 2^((time - reference) / half-life), so that old samples lose weight relative to
// new ones without being updated.
type classUsage struct {
	cores     histogram
	memory    histogram
	reference time.Time
	updated   time.Time
	// size caches the reservation that follows from the samples. It is valid if sizeValid is set.
	size      structs.Resources
	sizeValid bool
}

// New returns a model without samples.
func New(config Config) *Model {
	return &Model{config: config.withDefaults(), classes: map[string]*classUsage{}}
}

// Observe adds a usage sample of a task of the class, taken age ago. Negative values are ignored. Usage within the
// task's reservation never raises later reservations: some tasks use all that they are given, and with headroom on
// top, each generation of them would reserve more than the last.
func (m *Model) Observe(name string, used, reserved structs.Resources, age time.Duration, now time.Time) {
	if used.MilliCores < 0 || used.MemoryMB < 0 || age < 0 {
		return
	}
	at := now.Add(-age)
	c := m.getOrCreateClass(name, at)
	exponent := float64(at.Sub(c.reference)) / float64(m.config.HalfLife)
	if exponent > rescaleExponent {
		c.rescale(exponent)
		c.reference, exponent = at, 0
	}
	weight := math.Exp2(exponent)
	c.cores.add(cappedUsage(used.MilliCores, reserved.MilliCores, m.config.CoreHeadroom), weight)
	c.memory.add(cappedUsage(used.MemoryMB, reserved.MemoryMB, m.config.MemoryHeadroom), weight)
	if at.After(c.updated) {
		c.updated = at
	}
	c.sizeValid = false
}

// cappedUsage returns the usage to record: at most the reservation without its headroom, unless the task used more
// than the reservation.
func cappedUsage(used, reserved int64, headroom float64) int64 {
	if used > reserved {
		return used
	}
	return min(used, int64(float64(reserved)/headroom))
}

func (c *classUsage) rescale(exponent float64) {
	c.cores.scale(math.Exp2(-exponent))
	c.memory.scale(math.Exp2(-exponent))
}

func (m *Model) getOrCreateClass(name string, at time.Time) *classUsage {
	if c := m.classes[name]; c != nil {
		return c
	}
	if len(m.classes) >= MaxClasses {
		m.evictOldestClass()
	}
	c := &classUsage{reference: at, updated: at}
	m.classes[name] = c
	return c
}

func (m *Model) evictOldestClass() {
	oldest := ""
	for name, c := range m.classes {
		o := m.classes[oldest]
		if o == nil || c.updated.Before(o.updated) || c.updated.Equal(o.updated) && name < oldest {
			oldest = name
		}
	}
	delete(m.classes, oldest)
}

// sampleWeight returns the total weight of the samples as of now.
func (m *Model) sampleWeight(c *classUsage, now time.Time) float64 {
	return c.cores.total * math.Exp2(-float64(now.Sub(c.reference))/float64(m.config.HalfLife))
}

// Reservation returns what a task of the class reserves. actual is the highest observed usage of this task, or zero if
// it hasn't run; the result is never below it. Accelerators are whole devices and always as declared.
func (m *Model) Reservation(name string, declared, actual structs.Resources, now time.Time) structs.Resources {
	size := declared
	if c := m.classes[name]; c != nil {
		size = m.size(c)
		size.Accelerators = declared.Accelerators
		if m.sampleWeight(c, now) < m.config.MinSamples {
			size.MilliCores = clampToDeclared(size.MilliCores, declared.MilliCores, m.config.MaxRatio)
			size.MemoryMB = clampToDeclared(size.MemoryMB, declared.MemoryMB, m.config.MaxRatio)
		}
	}
	size.MilliCores = max(size.MilliCores, actual.MilliCores)
	size.MemoryMB = max(size.MemoryMB, actual.MemoryMB)
	return size
}

// clampToDeclared limits value to within factor of declared, unless the resource isn't declared.
func clampToDeclared(value, declared int64, factor float64) int64 {
	if declared <= 0 {
		return value
	}
	return min(max(value, int64(math.Ceil(float64(declared)/factor))), int64(float64(declared)*factor))
}

func (m *Model) size(c *classUsage) structs.Resources {
	if !c.sizeValid {
		c.size = structs.Resources{
			MilliCores: max(minMilliCores, scaleUp(c.cores.percentile(m.config.CorePercentile), m.config.CoreHeadroom)),
			MemoryMB:   max(minMemoryMB, scaleUp(c.memory.percentile(m.config.MemoryPercentile), m.config.MemoryHeadroom)),
		}
		c.sizeValid = true
	}
	return c.size
}

func scaleUp(value int64, factor float64) int64 { return int64(math.Ceil(float64(value) * factor)) }

// Len returns the number of classes.
func (m *Model) Len() int { return len(m.classes) }

// ClassSummary is the state of a class that is kept in a shard's snapshot.
type ClassSummary struct {
	Class string `json:"class"`
	// Used holds the percentiles of usage, without headroom.
	Used    structs.Resources `json:"used"`
	Samples float64           `json:"samples"`
}

// Export returns at most maxClasses classes, those with the most samples first, in a deterministic order.
func (m *Model) Export(maxClasses int, now time.Time) []ClassSummary {
	var list []ClassSummary
	for name, c := range m.classes {
		list = append(list, ClassSummary{name, structs.Resources{
			MilliCores: c.cores.percentile(m.config.CorePercentile), MemoryMB: c.memory.percentile(m.config.MemoryPercentile),
		}, m.sampleWeight(c, now)})
	}
	slices.SortFunc(list, func(a, b ClassSummary) int {
		return cmp.Or(cmp.Compare(b.Samples, a.Samples), cmp.Compare(a.Class, b.Class))
	})
	return list[:min(len(list), max(maxClasses, 0))]
}

// Import replaces the state of the model with a summary. All samples of a class are set to its percentile. Classes
// beyond MaxClasses are ignored.
func (m *Model) Import(list []ClassSummary, now time.Time) {
	m.classes = map[string]*classUsage{}
	for _, in := range list {
		if len(m.classes) >= MaxClasses || !(in.Samples > 0) || in.Used.MilliCores < 0 || in.Used.MemoryMB < 0 {
			continue
		}
		c := m.getOrCreateClass(in.Class, now)
		c.cores.add(in.Used.MilliCores, in.Samples)
		c.memory.add(in.Used.MemoryMB, in.Samples)
	}
}
