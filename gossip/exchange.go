package gossip

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/quetzalshed/quetzalshed/clock"
	"github.com/quetzalshed/quetzalshed/config"
	"github.com/quetzalshed/quetzalshed/kernel"
)

// Identity is what a process tells of itself.
type Identity struct {
	Fleet   string
	Name    string
	Role    kernel.Role
	Address string
}

// Sender carries a message to an address and returns the response.
type Sender interface {
	Send(ctx context.Context, address string, message Message) (Message, error)
}

// Exchanger combines what a process knows with what others tell it. It is safe for concurrent use.
type Exchanger struct {
	identity Identity
	clock    clock.Clock
	follower *config.Follower
	owners   *OwnerTable
	peers    *peerTable
	sender   Sender
	// onReject, if set, is called for each rejected message.
	onReject func(RejectReason)
}

// NewExchanger returns an exchanger that knows the seed addresses. reject may be nil.
func NewExchanger(
	identity Identity, c clock.Clock, follower *config.Follower, owners *OwnerTable, seeds []string, sender Sender,
	reject func(RejectReason),
) *Exchanger {
	if reject == nil {
		reject = func(RejectReason) {}
	}
	return &Exchanger{
		identity: identity, clock: c, follower: follower, owners: owners, sender: sender, onReject: reject,
		peers: newPeerTable(identity.Address, seeds),
	}
}

// messageFor returns a message for an address. A peer that hasn't been heard from lately is assumed to lack nothing: in a
// large fleet most peers are such, and one that does lack something says so in its response.
func (e *Exchanger) messageFor(address string) Message {
	revision, digest, ok := e.peers.lookup(address)
	if !ok {
		revision, digest = e.follower.Revision(), e.owners.Digest()
	}
	return e.buildMessage(revision, digest)
}

// buildMessage returns a message for a receiver that holds a revision and owners with a digest.
func (e *Exchanger) buildMessage(revision int64, digest uint64) Message {
	ownDigest := e.owners.Digest()
	message := Message{
		Version: ProtocolVersion, Fleet: e.identity.Fleet, From: e.identity.Name, Role: e.identity.Role,
		Address: e.identity.Address, Config: e.follower.Proof(revision), OwnersDigest: strconv.FormatUint(ownDigest, 16),
	}
	if digest != ownDigest {
		message.Owners = e.owners.All()
	}
	return message
}

// Receive takes an incoming message and returns the response. Its proof is not used, since the time that the message
// took is not known.
func (e *Exchanger) Receive(message Message) (Message, RejectReason, error) {
	if reason, err := message.validate(e.identity.Fleet); err != nil {
		e.onReject(reason)
		return Message{}, reason, err
	}
	if head := message.Config.Head; head != nil {
		if err := e.follower.ObserveHead(*head); err != nil {
			e.onReject(ReasonConfig)
		}
	}
	e.applyPeerState(message)
	digest, _ := message.digest()
	return e.buildMessage(message.Config.Revision, digest), "", nil
}

// applyPeerState takes the owners of a valid message and notes what its sender holds.
func (e *Exchanger) applyPeerState(message Message) {
	for _, owner := range message.Owners {
		e.owners.Publish(owner)
	}
	digest, _ := message.digest()
	e.peers.record(message.Address, message.Config.Revision, digest, e.clock.Now())
}

// maxMessagesPerExchange bounds the messages of one exchange: the second one carries what the first response showed to be missing.
const maxMessagesPerExchange = 2

// Exchange tells a peer what this process knows and takes what the peer knows.
func (e *Exchanger) Exchange(ctx context.Context, address string) error {
	for range maxMessagesPerExchange {
		sentAt := e.clock.Now()
		response, err := e.sender.Send(ctx, address, e.messageFor(address))
		if err != nil {
			e.peers.recordFailure(address, e.clock.Now())
			return err
		}
		e.peers.recordSuccess(address)
		if reason, err := response.validate(e.identity.Fleet); err != nil {
			e.onReject(reason)
			return err
		}
		if err := e.follower.ObserveProof(response.Config, sentAt); err != nil {
			e.onReject(ReasonConfig)
		}
		e.applyPeerState(response)
		// The peer is recorded under the address that was called, which is the one that is looked up.
		digest, _ := response.digest()
		e.peers.record(address, response.Config.Revision, digest, e.clock.Now())
		if response.Config.Revision >= e.follower.Revision() && digest == e.owners.Digest() {
			return nil
		}
	}
	return nil
}

// PickPeers returns up to count random peers.
func (e *Exchanger) PickPeers(count int, random *rand.Rand) []string {
	all := e.peerAddresses()
	random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(count, len(all))]
}

// peerAddresses returns the addresses of known peers and of the owners of shards.
func (e *Exchanger) peerAddresses() []string {
	var owners []string
	for _, owner := range e.owners.All() {
		owners = append(owners, owner.Address)
	}
	return e.peers.callableAddresses(e.clock.Now(), owners)
}

// maxQuietProofAge is the age of the newest proof below which an agent starts no exchange. Heartbeats bring a proof each second;
// when they fail, exchanges begin well before starts are stopped at an age of 3 s.
const maxQuietProofAge = 1500 * time.Millisecond

// MaySkipRound tells whether a process without news may leave a round out. Exchanges of all agents would otherwise meet at the
// few processes that poll the store, and cost these more than the heartbeats.
func MaySkipRound(polling, known bool, age time.Duration) bool {
	return !polling && known && age < maxQuietProofAge
}

// RoundInterval is the pause between two rounds. That of a process that doesn't poll the store grows with the fleet, so
// that the few processes that do aren't called more often than about 32 times per interval by all of them.
func RoundInterval(interval time.Duration, polling bool, workers int) time.Duration {
	if polling {
		return interval
	}
	const callsPerInterval, maxInterval = 32, 5 * time.Second
	scaled := interval * time.Duration(workers) / callsPerInterval
	return max(interval, min(scaled, maxInterval))
}
