package config

import (
	"fmt"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/quetzalshed/quetzalshed/clock"
)

// UnconfirmedAge is the AgeMillis of a sender that has no confirmation of its head.
const UnconfirmedAge int64 = -1

// maxProofAge bounds the age of a proof from a peer. An older proof is useless, and a larger number indicates a fault.
const maxProofAge = 30 * 24 * time.Hour

// ErrDivergedHeads means that two heads have the same revision but different changes, as after data loss in the store.
var ErrDivergedHeads = eris.New("config: another head has the same revision")

// FreshnessProof is sent between processes to confirm that a revision of the head is the newest one.
type FreshnessProof struct {
	// Revision is the revision that the sender holds, or 0 if it holds none.
	Revision int64 `json:"revision"`
	// AgeMillis is the time since the revision was known to be the newest, or UnconfirmedAge.
	AgeMillis int64 `json:"age_millis"`
	// Head is omitted if the receiver is known to have it.
	Head *Head `json:"head,omitempty"`
}

// Validate returns an error if the proof is inconsistent or out of bounds.
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

// Configuration is a head with the rules and the inventory that it refers to.
type Configuration struct {
	Head  Head
	Rules *Rules
	// Inventory is empty in agents that own no shard.
	Inventory *Inventory
}

// Follower holds the newest head that this process has seen. It never returns to an older revision. It is safe for
// concurrent use.
type Follower struct {
	clock clock.Clock

	mu   sync.Mutex
	head Head
	// confirmedAt is a time at which the held revision was the newest. It is zero if that was never confirmed.
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

// ObserveStore records a head that was read from the store. sentAt is the time at which the read was sent, since the
// head may have been replaced between the read and its response.
func (f *Follower) ObserveStore(head Head, sentAt time.Time) error {
	return f.observe(head.Revision, &head, sentAt)
}

// ObserveHead records a head without a freshness proof, such as one from an incoming message, whose delay is unknown.
func (f *Follower) ObserveHead(head Head) error {
	return f.observe(head.Revision, &head, time.Time{})
}

// ObserveProof validates and records a proof from the response to a request that was sent at sentAt. The age counts
// back from sentAt, since the peer read its clock after that time.
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

// observe adopts the head if it is newer, and then the confirmation time if it belongs to the held revision.
// Confirmations of lower revisions are ignored: after data loss in the store they would confirm a head that the store
// no longer holds, and tasks would keep starting while new changes by operators are ignored.
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

// Head returns the held head. ok is false if there is none.
func (f *Follower) Head() (head Head, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.head, f.head.Revision > 0
}

// Revision returns the held revision, or 0 if there is none.
func (f *Follower) Revision() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.head.Revision
}

// Changed returns a channel that is closed when a newer head is adopted.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// ConfirmedAge returns the time since the held revision was last confirmed as the newest. ok is false if it never was.
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

// FreshnessProof returns the proof to send to a peer that is known to hold knownRevision (0 for none). The head is
// omitted if the peer already has it or a newer one.
func (f *Follower) FreshnessProof(knownRevision int64) FreshnessProof {
	f.mu.Lock()
	defer f.mu.Unlock()
	proof := FreshnessProof{Revision: f.head.Revision, AgeMillis: UnconfirmedAge}
	if age, ok := f.ageLocked(); ok && age <= maxProofAge {
		// Rounded up, so that an age doesn't shrink as it is relayed.
		proof.AgeMillis = int64((age + time.Millisecond - 1) / time.Millisecond)
	}
	if f.head.Revision > knownRevision {
		head := f.head
		proof.Head = &head
	}
	return proof
}

// MayStart reports whether a task may start in a failure domain now, and the reason if not. It is the only place that
// enforces guarantee P4: no task starts in a failure domain out of service, or while the configuration isn't known to
// be current. The result is valid only for an immediate start; a caller that waits must check again.
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

// DomainOut reports whether a failure domain is out of service according to the held head, regardless of its age. Use
// it to drain work; use MayStart to decide whether work may start.
func (f *Follower) DomainOut(domain string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.head.Domains[domain].Out
}

// SetLoaded records the rules and the inventory of a head. A head older than the loaded one is ignored.
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
