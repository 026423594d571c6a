package config

import (
	"fmt"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/quetzalshed/quetzalshed/clock"
)

// UnconfirmedAge as a proof's age means that its sender holds no proof.
const UnconfirmedAge int64 = -1

// maxProofAge bounds the age of a proof from a peer. Older ones are useless, and larger numbers are faults.
const maxProofAge = 30 * 24 * time.Hour

// ErrDivergedHeads means that two heads have one revision and different changes, as after a loss of data in the store.
var ErrDivergedHeads = eris.New("config: another head has the same revision")

// FreshnessProof is what one process tells another about the head.
type FreshnessProof struct {
	// Revision is the revision that the sender holds, 0 for none.
	Revision int64 `json:"revision"`
	// AgeMillis says how long ago no newer revision existed, or NoProof.
	AgeMillis int64 `json:"age_millis"`
	// Head is left out when the receiver is known to have it.
	Head *Head `json:"head,omitempty"`
}

// Validate returns why a proof can't be right.
func (p FreshnessProof) Validate() error {
	switch {
	case p.Revision < 0:
		return eris.Errorf("revision %d is negative", p.Revision)
	case p.AgeMillis < UnconfirmedAge || p.AgeMillis > maxProofAge.Milliseconds():
		return eris.Errorf("an age of %d ms is impossible", p.AgeMillis)
	case p.Revision == 0 && (p.AgeMillis != UnconfirmedAge || p.Head != nil):
		return eris.New("a proof without a revision has an age or a head")
	case p.Head != nil && p.Head.Revision != p.Revision:
		return eris.Errorf("revision %d has a head of revision %d", p.Revision, p.Head.Revision)
	case p.Head != nil:
		return p.Head.Validate()
	}
	return nil
}

// Configuration is a head with the rules and the inventory that it names.
type Configuration struct {
	Head  Head
	Rules *Rules
	// Inventory is empty in agents that own no shard.
	Inventory *Inventory
}

// Follower holds the newest head that this process has seen, and never goes back. It is safe for concurrent use.
type Follower struct {
	clock clock.Clock

	mu   sync.Mutex
	head Head
	// confirmedAt is a time at which no revision above the held one existed. The zero time means that there is no proof.
	confirmedAt time.Time
	loaded      Configuration
	changed     chan struct{}
}

// NewFollower returns a follower that holds no head.
func NewFollower(c clock.Clock) *Follower {
	return &Follower{
		clock: c, changed: make(chan struct{}),
		loaded: Configuration{Rules: DefaultRules(), Inventory: NewInventory(nil)},
	}
}

// ObserveStore records a head that was read from the store. sentAt is when the read was sent: the head may have been
// replaced between the read and its response.
func (f *Follower) ObserveStore(head Head, sentAt time.Time) error {
	return f.observe(head.Revision, &head, sentAt)
}

// ObserveHead records a head that came without a proof, as in an incoming message, whose delay is unknown.
func (f *Follower) ObserveHead(head Head) error {
	return f.observe(head.Revision, &head, time.Time{})
}

// ObserveProof records a valid proof that came in the response to a request that was sent at sentAt. Its age is counted
// from sentAt, since the peer read its clock after that.
func (f *Follower) ObserveProof(p FreshnessProof, sentAt time.Time) error {
	if err := p.Validate(); err != nil {
		return err
	}
	if p.Revision == 0 {
		return nil
	}
	var confirmedAt time.Time
	if p.AgeMillis != UnconfirmedAge {
		confirmedAt = sentAt.Add(-time.Duration(p.AgeMillis) * time.Millisecond)
	}
	return f.observe(p.Revision, p.Head, confirmedAt)
}

// observe takes a head when it is newer, and then a proof when it is about the held revision. A proof of a lower one
// would do as long as the store loses no data; after a loss it would confirm a head that the store doesn't hold, and
// starts would go on while operators' new changes are ignored.
func (f *Follower) observe(revision int64, head *Head, confirmedAt time.Time) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if head != nil && revision == f.head.Revision && head.ChangeID() != f.head.ChangeID() {
		return eris.Wrapf(ErrDivergedHeads, "revision %d", revision)
	}
	if head != nil && revision > f.head.Revision {
		f.head = *head
		close(f.changed)
		f.changed = make(chan struct{})
	}
	if f.head.Revision == revision && confirmedAt.After(f.confirmedAt) {
		f.confirmedAt = confirmedAt
	}
	return nil
}

// Head returns the held head. ok is false when there is none.
func (f *Follower) Head() (head Head, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.head, f.head.Revision > 0
}

// Revision returns the held revision, 0 when there is none.
func (f *Follower) Revision() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.head.Revision
}

// Changed returns a channel that is closed when a newer head is held.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// ConfirmedAge returns the age of the newest proof that no newer revision existed. ok is false when there is none.
func (f *Follower) ConfirmedAge() (age time.Duration, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ageLocked()
}

func (f *Follower) ageLocked() (age time.Duration, ok bool) {
	if f.head.Revision == 0 || f.confirmedAt.IsZero() {
		return 0, false
	}
	return f.clock.Now().Sub(f.confirmedAt), true
}

// FreshnessProof returns what to tell a peer that is known to hold a revision (0 for none). The head is left out when the peer
// needs none.
func (f *Follower) FreshnessProof(knownRevision int64) FreshnessProof {
	f.mu.Lock()
	defer f.mu.Unlock()
	proof := FreshnessProof{Revision: f.head.Revision, AgeMillis: UnconfirmedAge}
	if age, ok := f.ageLocked(); ok && age <= maxProofAge {
		// Rounded up, so that relayed ages never shrink.
		proof.AgeMillis = int64((age + time.Millisecond - 1) / time.Millisecond)
	}
	if f.head.Revision > knownRevision {
		head := f.head
		proof.Head = &head
	}
	return proof
}

// MayStart tells whether a task may start in a failure domain now, and otherwise why not. This is the single place that
// enforces P4. A caller that waits after asking must ask again.
func (f *Follower) MayStart(domain string) (ok bool, reason string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.head.Revision == 0 {
		return false, "no configuration has been received"
	}
	state, known := f.head.Domains[domain]
	if !known {
		return false, fmt.Sprintf("failure domain %q is not in the inventory", domain)
	}
	if state.Out {
		return false, fmt.Sprintf("failure domain %q is out of service", domain)
	}
	age, confirmed := f.ageLocked()
	if !confirmed {
		return false, "the configuration has not been confirmed"
	}
	if limit := f.head.StartFreshness(); age > limit {
		return false, fmt.Sprintf("the configuration was confirmed %s ago, and starts require %s", age, limit)
	}
	return true, ""
}

// DomainOut tells whether the held head says that a failure domain is out of service, however old that head is. It is
// for work that drains; whether work may start is decided by MayStart.
func (f *Follower) DomainOut(domain string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.head.Domains[domain].Out
}

// SetLoaded records the rules and the inventory of a head. Those of an older head than the loaded one are ignored.
func (f *Follower) SetLoaded(loaded Configuration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if loaded.Head.Revision >= f.loaded.Head.Revision {
		f.loaded = loaded
	}
}

// Loaded returns the newest head whose rules and inventory have been loaded, or the defaults with revision 0.
func (f *Follower) Loaded() Configuration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.loaded
}

// Rules returns the newest loaded rules.
func (f *Follower) Rules() *Rules { return f.Loaded().Rules }

// Inventory returns the newest loaded inventory.
func (f *Follower) Inventory() *Inventory { return f.Loaded().Inventory }
