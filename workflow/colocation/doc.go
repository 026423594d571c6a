// Package colocation estimates how much latency headroom best-effort images take from serving images on the same executor.
// Headroom is the latency target of a serving task divided by its latency; it falls in proportion to the CPU share that a
// best-effort task uses. The package is pure: it has no clock, I/O or locks, and equal calls give equal results.
package colocation
