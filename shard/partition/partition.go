// Package partition assigns workers and jobs to shards.
package partition

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Shard maps a name to one of a number of shards by rendezvous hashing: when a shard is added, only the names that move
// to it change their shard. kind separates workers and jobs of the same name.
func Shard(kind, name string, shards int) int {
	best, highest := 0, uint64(0)
	for shard := range shards {
		if weight := Weight(kind, name, strconv.Itoa(shard)); shard == 0 || weight > highest {
			best, highest = shard, weight
		}
	}
	return best
}

// Weight returns the rendezvous hash weight of a pair of names.
func Weight(kind, a, b string) uint64 {
	return xxhash.Sum64String(kind + "\x00" + a + "\x00" + b)
}

// WorkerShard returns the shard that a worker belongs to.
func WorkerShard(name string, shards int) int { return Shard("worker", name, shards) }

// JobShard returns the shard that a job belongs to.
func JobShard(id string, shards int) int { return Shard("job", id, shards) }
