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

// Identity describes the local process in messages.
type Identity struct {
	Fleet   string
	Name    string
	Role    kernel.Role
	Address string
}

// Sender sends a message to an address and returns the response.
type Sender interface {
	Send(ctx context.Context, address string, message Message) (Message, error)
}

// Exchanger exchanges the configuration head and the shard owners with peers. It is safe for concurrent use.
type Exchanger struct {
	identity Identity
	clock    clock.Clock
	follower *config.Follower
	owners   *OwnerTable
	peers    *peerTable
	sender   Sender
	// onReject is called for each rejected message.
	onReject func(RejectReason)
}

// NewExchanger returns an Exchanger that initially knows only the seed addresses. onReject may be nil.
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

// messageFor returns a message for an address. A peer without a recent message is assumed to be up to date: in a large
// fleet that is the case for most peers, and a peer that lacks something shows it in its response.
func (e *Exchanger) messageFor(address string) Message {
	revision, digest, ok := e.peers.lookup(address)
	if !ok {
		revision, digest = e.follower.Revision(), e.owners.Digest()
	}
	return e.buildMessage(revision, digest)
}

// buildMessage returns a message for a receiver that holds the given revision and owners digest. It includes only what
// the receiver lacks.
func (e *Exchanger) buildMessage(revision int64, digest uint64) Message {
	ownDigest := e.owners.Digest()
	message := Message{
		Version: ProtocolVersion, Fleet: e.identity.Fleet, From: e.identity.Name, Role: e.identity.Role,
		Address: e.identity.Address, Config: e.follower.FreshnessProof(revision), OwnersDigest: strconv.FormatUint(ownDigest, 16),
	}
	if digest != ownDigest {
		message.Owners = e.owners.All()
	}
	return message
}

// Receive processes an incoming message and returns the response. The message's proof is not used to confirm the
// configuration, since its transit time is unknown.
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

// applyPeerState stores the owners of a valid message and records what its sender holds.
func (e *Exchanger) applyPeerState(message Message) {
	for _, owner := range message.Owners {
		e.owners.Publish(owner)
	}
	digest, _ := message.digest()
	e.peers.record(message.Address, message.Config.Revision, digest, e.clock.Now())
}

// maxMessagesPerExchange limits the messages of one exchange. The second one carries what the peer was missing
// according to its first response.
const maxMessagesPerExchange = 2

// Exchange sends what this process knows to a peer and applies the response.
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
		// Lookups use the address that was called, which may differ from the one in the response.
		digest, _ := response.digest()
		e.peers.record(address, response.Config.Revision, digest, e.clock.Now())
		if response.Config.Revision >= e.follower.Revision() && digest == e.owners.Digest() {
			return nil
		}
	}
	return nil
}

// PickPeers returns up to count randomly chosen peers.
func (e *Exchanger) PickPeers(count int, random *rand.Rand) []string {
	all := e.peerAddresses()
	random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(count, len(all))]
}

// peerAddresses returns the callable addresses of known peers and shard owners.
func (e *Exchanger) peerAddresses() []string {
	var owners []string
	for _, owner := range e.owners.All() {
		owners = append(owners, owner.Address)
	}
	return e.peers.callableAddresses(e.clock.Now(), owners)
}

// maxSkipProofAge is the age of the newest proof below which an agent skips its rounds. Heartbeats deliver a proof every
// second. If they fail, rounds begin well before starts are blocked at a proof age of 3 s.
const maxSkipProofAge = 1500 * time.Millisecond

// MaySkipRound reports whether a process without changes may skip a round. Without this, the exchanges of all agents
// would concentrate on the few processes that poll the store and cost them more than the heartbeats.
func MaySkipRound(polling, known bool, age time.Duration) bool {
	return !polling && known && age < maxSkipProofAge
}

// RoundInterval returns the pause between two rounds. For a process that doesn't poll the store it grows with the
// fleet, so that all of these processes together call the polling processes at most about 32 times per interval. It
// grows to at most 5 s.
func RoundInterval(interval time.Duration, polling bool, workers int) time.Duration {
	if polling {
		return interval
	}
	const callsPerInterval, maxInterval = 32, 5 * time.Second
	scaled := interval * time.Duration(workers) / callsPerInterval
	return max(interval, min(scaled, maxInterval))
}
