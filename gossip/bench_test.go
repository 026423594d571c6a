package gossip_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/quetzalshed/quetzalshed/gossip"
	"github.com/quetzalshed/quetzalshed/structs"
)

// fleetSize is the size of a benchmark fleet. The entries and the shard owners poll the store.
type fleetSize struct{ workers, domains, shards, entries int }

var fleetSizes = []fleetSize{{11, 3, 1, 3}, {340, 6, 6, 6}, {3400, 18, 54, 18}}

// simulatedFleet is a fleet with a virtual clock and instant message delivery.
type simulatedFleet struct {
	*processGroup
	random    *rand.Rand
	addresses []string
	pollers   int
	nextRound []time.Time
}

const roundInterval = 500 * time.Millisecond

func newSimulatedFleet(size fleetSize, seed uint64) *simulatedFleet {
	s := &simulatedFleet{
		processGroup: newGroup(), random: rand.New(rand.NewPCG(seed, seed)), pollers: size.entries + size.shards,
	}
	var seeds []string
	for i := range size.entries + size.workers {
		address := fmt.Sprintf("10.%d.%d.%d:7800", i>>16, i>>8&255, i&255)
		s.addresses = append(s.addresses, address)
		s.addProcessWithSeeds(address, seeds)
		if i < size.entries {
			seeds = append(seeds, address)
		}
		s.nextRound = append(s.nextRound, s.clock.Now().Add(time.Duration(s.random.Int64N(int64(5*time.Second)))))
	}
	for i, address := range s.addresses {
		m := s.members[address]
		for shard := range size.shards {
			owner := s.addresses[size.entries+shard]
			m.owners.Publish(structs.ShardOwner{Shard: shard, Epoch: 1000, Address: owner})
		}
		if err := m.follower.ObserveStore(newHead(1, size.domains, size.workers), s.clock.Now()); err != nil {
			panic(err)
		}
		if i < s.pollers {
			s.nextRound[i] = s.clock.Now().Add(time.Duration(s.random.Int64N(int64(roundInterval))))
		}
	}
	return s
}

// runUntil simulates rounds until minHolders processes hold a revision or the limit is reached, and returns the
// simulated time.
func (s *simulatedFleet) runUntil(limit time.Duration, revision int64, minHolders int) time.Duration {
	const step = 10 * time.Millisecond
	for passed := time.Duration(0); passed < limit; passed += step {
		s.clock.Advance(step)
		holders := 0
		for i, address := range s.addresses {
			m := s.members[address]
			if !s.clock.Now().Before(s.nextRound[i]) {
				head, _ := m.follower.Head()
				s.nextRound[i] = s.clock.Now().Add(gossip.RoundInterval(roundInterval, i < s.pollers, head.Workers()))
				for _, peer := range m.exchanger.PickPeers(2, s.random) {
					if err := m.exchanger.Exchange(context.Background(), peer); err != nil {
						panic(err)
					}
				}
			}
			if m.follower.Revision() >= revision {
				holders++
			}
		}
		if holders >= minHolders {
			return passed
		}
	}
	return limit
}

// BenchmarkMessageBytes reports the gossip traffic of a fleet without changes and while a change spreads from one
// process by gossip alone, without heartbeats and store polls.
func BenchmarkMessageBytes(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprintf("workers=%d", size.workers), func(b *testing.B) {
			for i := range b.N {
				s := newSimulatedFleet(size, uint64(i+1))
				processes := len(s.addresses)
				s.runUntil(6*time.Second, 9, processes+1)
				s.messages, s.bytes, s.largestMessage = 0, 0, 0
				const steady = 10 * time.Second
				clear(s.perNode)
				s.runUntil(steady, 9, processes+1)
				perNode := float64(s.bytes) * 2 / float64(processes) / steady.Seconds()
				b.ReportMetric(float64(s.bytes)/float64(s.messages), "B/message")
				b.ReportMetric(perNode, "B/s/node")
				b.ReportMetric(float64(s.maxBytesPerNode())/steady.Seconds(), "B/s/busiest-node")
				s.largestMessage = 0
				if err := s.members[s.addresses[0]].follower.ObserveHead(newHead(2, size.domains, size.workers)); err != nil {
					b.Fatal(err)
				}
				spread := s.runUntil(time.Minute, 2, processes)
				b.ReportMetric(float64(s.largestMessage), "B/largest")
				b.ReportMetric(spread.Seconds(), "s/spread")
			}
		})
	}
}

func (s *simulatedFleet) maxBytesPerNode() int {
	most := 0
	for _, bytes := range s.perNode {
		most = max(most, bytes)
	}
	return most
}
