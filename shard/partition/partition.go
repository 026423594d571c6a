// Package partition assigns workers and jobs to shards.
package partition

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Shard returns the shard of a name among a number of shards by rendezvous hashing: when a shard is added, only the names
// that move to it change their shard. The kind keeps workers and jobs of the same name apart.
func Shard(kind, name string, shards int) int {
	best, highest := 0, uint64(0)
	for shard := range shards {
		if weight := Weight(kind, name, strconv.Itoa(shard)); shard == 0 || weight > highest {
			best, highest = shard, weight
		}
	}
	return best
}

// Weight returns the rendezvous weight of a pair of names.
func Weight(kind, a, b string) uint64 {
	return xxhash.Sum64String(kind + "\x00" + a + "\x00" + b)
}

// WorkerShard returns the shard of a worker.
func WorkerShard(name string, shards int) int { return Shard("worker", name, shards) }

// JobShard returns the shard of a job.
func JobShard(id string, shards int) int { return Shard("job", id, shards) }
