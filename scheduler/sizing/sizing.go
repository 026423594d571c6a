// Package sizing derives reservations from the observed usage of job classes, since declared sizes are far off.
package sizing

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/quetzalshed/quetzalshed/structs"
)

// MaxClasses bounds a model. The class that was observed least recently makes room for a new one.
const MaxClasses = 1024

// Config holds the parameters of a model. A zero field means its default.
type Config struct {
	// CorePercentile and MemoryPercentile are the parts of usage samples that the reservation covers. Memory has the
	// higher one: a task short of processors is slow, a task short of memory is killed.
	CorePercentile   float64
	MemoryPercentile float64
	// CoreHeadroom and MemoryHeadroom are factors on the percentile.
	CoreHeadroom   float64
	MemoryHeadroom float64
	// HalfLife is the age at which a sample counts half.
	HalfLife time.Duration
	// MinSamples is the weight of samples below which the reservation stays within Bound times the declared size.
	MinSamples float64
	// Bound is the factor by which few samples may raise or lower the declared size.
	Bound float64
}

// Defaults of Config.
const (
	DefaultCorePercentile   = 0.95
	DefaultMemoryPercentile = 0.99
	DefaultCoreHeadroom     = 1.10
	DefaultMemoryHeadroom   = 1.15
	DefaultHalfLife         = 2 * time.Hour
	DefaultMinSamples       = 60
	DefaultBound            = 2
)

// Smallest reservation of a class, so that an idle class still gets something.
const (
	minMilliCores = 10
	minMemoryMB   = 16
)

// rescaleAt is the weight of a new sample, as a power of 2, at which old weights are scaled down to keep float32 exact.
const rescaleAt = 16

func (c Config) withDefaults() Config {
	c.CorePercentile = cmp.Or(c.CorePercentile, DefaultCorePercentile)
	c.MemoryPercentile = cmp.Or(c.MemoryPercentile, DefaultMemoryPercentile)
	c.CoreHeadroom = cmp.Or(c.CoreHeadroom, DefaultCoreHeadroom)
	c.MemoryHeadroom = cmp.Or(c.MemoryHeadroom, DefaultMemoryHeadroom)
	c.HalfLife = cmp.Or(c.HalfLife, DefaultHalfLife)
	c.MinSamples = cmp.Or(c.MinSamples, DefaultMinSamples)
	c.Bound = cmp.Or(c.Bound, DefaultBound)
	return c
}

// Model learns the usage of job classes from lagged samples. It is not safe for concurrent use.
type Model struct {
	config  Config
	classes map[string]*class
}

// class holds samples whose weight is 2^((time - reference) / half-life), so that old ones fade without being touched.
type class struct {
	cores     histogram
	memory    histogram
	reference time.Time
	updated   time.Time
	// size caches the reservation that follows from the samples, and is valid while fresh.
	size  structs.Resources
	fresh bool
}

// New returns a model that knows nothing.
func New(config Config) *Model {
	return &Model{config: config.withDefaults(), classes: map[string]*class{}}
}

// Observe learns from one usage measurement of a task of the class, taken age ago. Negative values are ignored. Usage that
// the task's reservation covered never leads to a higher one: some tasks use all that they are given, and with headroom on
// top of it each of their generations would reserve more than the last.
func (m *Model) Observe(name string, used, reserved structs.Resources, age time.Duration, now time.Time) {
	if used.MilliCores < 0 || used.MemoryMB < 0 || age < 0 {
		return
	}
	at := now.Add(-age)
	c := m.class(name, at)
	power := float64(at.Sub(c.reference)) / float64(m.config.HalfLife)
	if power > rescaleAt {
		c.rescale(power)
		c.reference, power = at, 0
	}
	weight := math.Exp2(power)
	c.cores.add(covered(used.MilliCores, reserved.MilliCores, m.config.CoreHeadroom), weight)
	c.memory.add(covered(used.MemoryMB, reserved.MemoryMB, m.config.MemoryHeadroom), weight)
	if at.After(c.updated) {
		c.updated = at
	}
	c.fresh = false
}

// covered returns the usage to learn from: at most what the reservation holds without its headroom, unless the task used
// more than the reservation.
func covered(used, reserved int64, headroom float64) int64 {
	if used > reserved {
		return used
	}
	return min(used, int64(float64(reserved)/headroom))
}

func (c *class) rescale(power float64) {
	c.cores.scale(math.Exp2(-power))
	c.memory.scale(math.Exp2(-power))
}

func (m *Model) class(name string, at time.Time) *class {
	if c := m.classes[name]; c != nil {
		return c
	}
	if len(m.classes) >= MaxClasses {
		m.dropOldest()
	}
	c := &class{reference: at, updated: at}
	m.classes[name] = c
	return c
}

func (m *Model) dropOldest() {
	oldest := ""
	for name, c := range m.classes {
		o := m.classes[oldest]
		if o == nil || c.updated.Before(o.updated) || c.updated.Equal(o.updated) && name < oldest {
			oldest = name
		}
	}
	delete(m.classes, oldest)
}

// samples returns the weight of the samples as of now.
func (m *Model) samples(c *class, now time.Time) float64 {
	return c.cores.total * math.Exp2(-float64(now.Sub(c.reference))/float64(m.config.HalfLife))
}

// Reservation returns what a task of the class reserves. actual is the highest usage seen of this very task, zero if it
// hasn't run; the result is never below it. Accelerators are whole devices and always as declared.
func (m *Model) Reservation(name string, declared, actual structs.Resources, now time.Time) structs.Resources {
	size := declared
	if c := m.classes[name]; c != nil {
		size = m.size(c)
		size.Accelerators = declared.Accelerators
		if m.samples(c, now) < m.config.MinSamples {
			size.MilliCores = bounded(size.MilliCores, declared.MilliCores, m.config.Bound)
			size.MemoryMB = bounded(size.MemoryMB, declared.MemoryMB, m.config.Bound)
		}
	}
	size.MilliCores = max(size.MilliCores, actual.MilliCores)
	size.MemoryMB = max(size.MemoryMB, actual.MemoryMB)
	return size
}

// bounded keeps value within factor of declared. A resource that isn't declared has no bound.
func bounded(value, declared int64, factor float64) int64 {
	if declared <= 0 {
		return value
	}
	return min(max(value, int64(math.Ceil(float64(declared)/factor))), int64(float64(declared)*factor))
}

func (m *Model) size(c *class) structs.Resources {
	if !c.fresh {
		c.size = structs.Resources{
			MilliCores: max(minMilliCores, times(c.cores.percentile(m.config.CorePercentile), m.config.CoreHeadroom)),
			MemoryMB:   max(minMemoryMB, times(c.memory.percentile(m.config.MemoryPercentile), m.config.MemoryHeadroom)),
		}
		c.fresh = true
	}
	return c.size
}

func times(value int64, factor float64) int64 { return int64(math.Ceil(float64(value) * factor)) }

// Len returns the number of classes.
func (m *Model) Len() int { return len(m.classes) }

// ClassSummary is what a shard's snapshot keeps of a class.
type ClassSummary struct {
	Class string `json:"class"`
	// Used holds the percentiles of usage, without headroom.
	Used    structs.Resources `json:"used"`
	Samples float64           `json:"samples"`
}

// Export returns at most maxClasses classes, those with the most samples, in a fixed order.
func (m *Model) Export(maxClasses int, now time.Time) []ClassSummary {
	var list []ClassSummary
	for name, c := range m.classes {
		list = append(list, ClassSummary{name, structs.Resources{
			MilliCores: c.cores.percentile(m.config.CorePercentile), MemoryMB: c.memory.percentile(m.config.MemoryPercentile),
		}, m.samples(c, now)})
	}
	slices.SortFunc(list, func(a, b ClassSummary) int {
		return cmp.Or(cmp.Compare(b.Samples, a.Samples), cmp.Compare(a.Class, b.Class))
	})
	return list[:min(len(list), max(maxClasses, 0))]
}

// Import replaces what the model knows with a summary: all samples of a class at its percentile. Classes beyond the
// bound are left out.
func (m *Model) Import(list []ClassSummary, now time.Time) {
	m.classes = map[string]*class{}
	for _, in := range list {
		if len(m.classes) >= MaxClasses || !(in.Samples > 0) || in.Used.MilliCores < 0 || in.Used.MemoryMB < 0 {
			continue
		}
		c := m.class(in.Class, now)
		c.cores.add(in.Used.MilliCores, in.Samples)
		c.memory.add(in.Used.MemoryMB, in.Samples)
	}
}
