package gossip_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/clock"
	"github.com/quetzalshed/quetzalshed/config"
	"github.com/quetzalshed/quetzalshed/gossip"
	"github.com/quetzalshed/quetzalshed/kernel"
	"github.com/quetzalshed/quetzalshed/structs"
)

// member is a process of a processGroup.
type member struct {
	follower  *config.Follower
	owners    *gossip.OwnerTable
	exchanger *gossip.Exchanger
	rejected  []gossip.RejectReason
}

// processGroup delivers every message between its members by address and counts messages and bytes.
type processGroup struct {
	clock          *clock.Manual
	members        map[string]*member
	messages       int
	bytes          int
	largestMessage int
	// perNode is the number of bytes sent and received by each address.
	perNode map[string]int
}

func newGroup() *processGroup {
	return &processGroup{clock: clock.NewManual(time.Unix(1_700_000_000, 0)), members: map[string]*member{}, perNode: map[string]int{}}
}

func (g *processGroup) addProcess(address string) *member { return g.addProcessWithSeeds(address, nil) }

func (g *processGroup) addProcessWithSeeds(address string, seeds []string) *member {
	m := &member{follower: config.NewFollower(g.clock), owners: gossip.NewOwnerTable()}
	identity := gossip.Identity{Fleet: "test", Name: "agent-" + address, Role: kernel.RoleAgent, Address: address}
	m.exchanger = gossip.NewExchanger(identity, g.clock, m.follower, m.owners, seeds, g, func(reason gossip.RejectReason) {
		m.rejected = append(m.rejected, reason)
	})
	g.members[address] = m
	return m
}

func (g *processGroup) Send(_ context.Context, to string, message gossip.Message) (gossip.Message, error) {
	g.count(message, message.Address, to)
	if g.members[to] == nil {
		return gossip.Message{}, errLost
	}
	response, _, err := g.members[to].exchanger.Receive(message)
	g.count(response, message.Address, to)
	return response, err
}

func (g *processGroup) count(message gossip.Message, ends ...string) {
	raw, err := json.Marshal(message)
	if err != nil {
		panic(err)
	}
	g.messages++
	g.bytes += len(raw)
	g.largestMessage = max(g.largestMessage, len(raw))
	for _, end := range ends {
		g.perNode[end] += len(raw)
	}
}

func newHead(revision int64, domains, workers int) config.Head {
	head := config.Head{
		Revision: revision, StartFreshnessMillis: 3000, RulesHash: config.HashBlob([]byte("rules")),
		Domains: map[string]config.DomainState{},
	}
	for i := range 16 {
		head.Changes = append(head.Changes, fmt.Sprintf("%016x", revision*1000+int64(i)))
	}
	for d := range domains {
		name := fmt.Sprintf("domain-%d", d)
		head.Domains[name] = config.DomainState{InventoryHash: config.HashBlob([]byte(name)), Workers: workers / domains}
	}
	return head
}

// Guards against a restarted peer that is assumed to still hold what it received before the restart.
func TestRestartedPeerIsUpdatedInOneExchange(t *testing.T) {
	c := qt.New(t)
	g := newGroup()
	a, _ := g.addProcess("127.0.0.1:1"), g.addProcess("127.0.0.1:2")
	c.Assert(a.follower.ObserveStore(newHead(4, 3, 11), g.clock.Now()), qt.IsNil)
	a.owners.Publish(structs.ShardOwner{Shard: 0, Epoch: 7, Address: "127.0.0.1:9"})
	ctx := context.Background()
	for range 2 {
		c.Assert(a.exchanger.Exchange(ctx, "127.0.0.1:2"), qt.IsNil)
		c.Assert(g.members["127.0.0.1:2"].follower.Revision(), qt.Equals, int64(4))
		owner, ok := g.members["127.0.0.1:2"].owners.Lookup(0)
		c.Assert(ok, qt.IsTrue)
		c.Assert(owner.Epoch, qt.Equals, int64(7))
		g.addProcess("127.0.0.1:2")
	}
}

// Guards against accepting messages from another fleet, with another protocol version or with invalid content.
func TestInvalidMessagesAreRejectedAndCounted(t *testing.T) {
	c := qt.New(t)
	g := newGroup()
	a := g.addProcess("127.0.0.1:1")
	head := newHead(3, 3, 11)
	valid := gossip.Message{
		Version: gossip.ProtocolVersion, Fleet: "test", Address: "127.0.0.1:2", OwnersDigest: "0",
		Config: config.FreshnessProof{Revision: 3, AgeMillis: 0, Head: &head},
		Owners: []structs.ShardOwner{{Shard: 0, Epoch: 1, Address: "127.0.0.1:2"}},
	}
	for _, corrupt := range []func(*gossip.Message){
		func(m *gossip.Message) { m.Fleet = "other" },
		func(m *gossip.Message) { m.Version = 0 },
		func(m *gossip.Message) { m.Config.AgeMillis = -2 },
		func(m *gossip.Message) { m.Config.Revision = 2 },
		func(m *gossip.Message) { m.OwnersDigest = "x" },
		func(m *gossip.Message) { m.Owners = []structs.ShardOwner{{Shard: 0, Epoch: 0, Address: "127.0.0.1:2"}} },
		func(m *gossip.Message) {
			m.Owners = []structs.ShardOwner{{Shard: -1, Epoch: 1, Address: "127.0.0.1:2"}}
		},
		func(m *gossip.Message) { m.Owners = []structs.ShardOwner{{Shard: 1, Epoch: 1, Address: "host:2"}} },
		func(m *gossip.Message) { m.Owners = make([]structs.ShardOwner, config.MaxShards+1) },
	} {
		message := valid
		corrupt(&message)
		_, _, err := a.exchanger.Receive(message)
		c.Check(err, qt.IsNotNil)
	}
	c.Assert(a.rejected, qt.DeepEquals, []gossip.RejectReason{
		gossip.ReasonFleet, gossip.ReasonVersion, gossip.ReasonConfig, gossip.ReasonConfig, gossip.ReasonOwners,
		gossip.ReasonOwners, gossip.ReasonOwners, gossip.ReasonOwners, gossip.ReasonOwners,
	})
	c.Assert(a.follower.Revision(), qt.Equals, int64(0))
	c.Assert(a.owners.All(), qt.HasLen, 0)
	_, _, err := a.exchanger.Receive(valid)
	c.Assert(err, qt.IsNil)
	c.Assert(a.follower.Revision(), qt.Equals, int64(3))
	_, proven := a.follower.ConfirmedAge()
	c.Assert(proven, qt.IsFalse)
}

// Guards against rounds that keep calling a peer that doesn't respond, and against a peer that stays suspended for
// ever.
func TestFailedPeersAreSuspended(t *testing.T) {
	c := qt.New(t)
	g := newGroup()
	const live, dead = "127.0.0.1:2", "127.0.0.1:3"
	a := g.addProcessWithSeeds("127.0.0.1:1", []string{live, dead})
	g.addProcess(live)
	random := rand.New(rand.NewPCG(1, 1))
	ctx := context.Background()
	for _, length := range []time.Duration{2, 4, 8, 16, 30, 30} {
		c.Assert(a.exchanger.PickPeers(2, random), qt.HasLen, 2)
		c.Assert(a.exchanger.Exchange(ctx, dead), qt.IsNotNil)
		c.Assert(a.exchanger.Exchange(ctx, live), qt.IsNil)
		g.clock.Advance(length*time.Second - time.Millisecond)
		c.Assert(a.exchanger.PickPeers(2, random), qt.DeepEquals, []string{live})
		g.clock.Advance(time.Millisecond)
	}
	c.Assert(a.exchanger.Exchange(ctx, dead), qt.IsNotNil)
	delete(g.members, live)
	c.Assert(a.exchanger.Exchange(ctx, live), qt.IsNotNil)
	c.Assert(a.exchanger.PickPeers(2, random), qt.HasLen, 2)
	g.addProcess(dead)
	c.Assert(a.exchanger.Exchange(ctx, dead), qt.IsNil)
	c.Assert(a.exchanger.PickPeers(2, random), qt.DeepEquals, []string{dead})
}

// FuzzReceive guards against a message that makes a process panic or store an invalid head or owner.
func FuzzReceive(f *testing.F) {
	head := newHead(3, 3, 11)
	seed, _ := json.Marshal(gossip.Message{
		Version: gossip.ProtocolVersion, Fleet: "test", Address: "127.0.0.1:2", OwnersDigest: "0",
		Config: config.FreshnessProof{Revision: 3, Head: &head}, Owners: []structs.ShardOwner{{Epoch: 1, Address: "127.0.0.1:2"}},
	})
	f.Add(seed)
	f.Fuzz(func(t *testing.T, raw []byte) {
		var message gossip.Message
		if json.Unmarshal(raw, &message) != nil {
			return
		}
		g := newGroup()
		a := g.addProcess("127.0.0.1:1")
		response, _, err := a.exchanger.Receive(message)
		if held, ok := a.follower.Head(); ok && (err != nil || held.Validate() != nil) {
			t.Fatalf("holds %+v: %v", held, err)
		}
		for _, owner := range a.owners.All() {
			if owner.Shard < 0 || owner.Shard >= config.MaxShards || owner.Epoch < 1 {
				t.Fatalf("holds owner %+v", owner)
			}
		}
		if err == nil && response.Config.AgeMillis != config.UnconfirmedAge {
			t.Fatalf("a message led to a proof of age %d", response.Config.AgeMillis)
		}
	})
}

// Guards against agents that all call the few polling processes although heartbeats keep them current, and against an
// agent that skips rounds when its heartbeats fail.
func TestMaySkipRoundWhileProofIsRecent(t *testing.T) {
	c := qt.New(t)
	c.Assert(gossip.MaySkipRound(false, true, time.Second), qt.IsTrue)
	c.Assert(gossip.MaySkipRound(false, true, 2*time.Second), qt.IsFalse)
	c.Assert(gossip.MaySkipRound(false, false, 0), qt.IsFalse)
	c.Assert(gossip.MaySkipRound(true, true, 0), qt.IsFalse)
}
