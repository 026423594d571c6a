package config

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/rotisserie/eris"
)

// Store keys and key prefixes.
const (
	// HeadKey is the key of the Head.
	HeadKey = "config/head"
	// rulesPrefix and inventoryPrefix are the key prefixes of blobs; the hash follows.
	rulesPrefix     = "config/rules/"
	inventoryPrefix = "config/inventory/"
)

// maxChanges is the number of change IDs in a head. A client whose write got no response finds its change among them
// unless that many other changes were accepted in the meantime.
const maxChanges = 16

// Head is the root of the configuration in force: it refers to the rules and the inventory by hash. It is immutable
// once it has been built.
type Head struct {
	// Revision starts at 1 and increases by 1 with each accepted change.
	Revision int64 `json:"revision"`
	// Changes lists the IDs of the most recent changes, starting with the one that produced this revision.
	Changes   []string `json:"changes"`
	RulesHash string   `json:"rules"`
	// StartFreshnessMillis duplicates Rules.StartFreshness, since it must apply before the rules are loaded.
	StartFreshnessMillis int64                  `json:"start_freshness_millis"`
	Domains              map[string]DomainState `json:"domains"`
}

// DomainState is the state of one failure domain.
type DomainState struct {
	// Out means that the failure domain is out of service.
	Out           bool   `json:"out,omitempty"`
	InventoryHash string `json:"inventory"`
	Workers       int    `json:"workers"`
}

// ChangeID returns the ID of the change that produced this revision.
func (h Head) ChangeID() string {
	if len(h.Changes) == 0 {
		return ""
	}
	return h.Changes[0]
}

// StartFreshness returns the maximum time since the last confirmation of the head at which tasks may start.
func (h Head) StartFreshness() time.Duration {
	if h.StartFreshnessMillis <= 0 {
		return DefaultStartFreshness
	}
	return time.Duration(h.StartFreshnessMillis) * time.Millisecond
}

// Workers returns the number of workers in the inventory.
func (h Head) Workers() int {
	count := 0
	for _, domain := range h.Domains {
		count += domain.Workers
	}
	return count
}

// changeIDAt returns the ID of the change that produced the given revision, if the head still lists it.
func (h Head) changeIDAt(revision int64) (id string, ok bool) {
	offset := h.Revision - revision
	if offset < 0 || offset >= int64(len(h.Changes)) {
		return "", false
	}
	return h.Changes[offset], true
}

// maxStartFreshness is the largest start freshness that the rules allow. It is also enforced for heads from peers.
const maxStartFreshness = 5 * time.Second

// Validate returns an error if a head from another process is invalid.
func (h Head) Validate() error {
	switch {
	case h.Revision < 1:
		return eris.Errorf("revision %d is below 1", h.Revision)
	case len(h.Changes) == 0 || len(h.Changes) > maxChanges || h.Changes[0] == "":
		return eris.Errorf("the head lists %d changes", len(h.Changes))
	case len(h.Domains) > MaxFailureDomains:
		return eris.Errorf("the head has %d failure domains, and at most %d are allowed", len(h.Domains), MaxFailureDomains)
	case h.StartFreshnessMillis < 1 || h.StartFreshnessMillis > maxStartFreshness.Milliseconds():
		return eris.Errorf("start freshness of %d ms is out of range", h.StartFreshnessMillis)
	}
	for name, domain := range h.Domains {
		if message := checkName(name, maxDomainNameBytes); message != "" {
			return eris.New("failure domain: " + message)
		}
		if domain.Workers < 1 {
			return eris.Errorf("failure domain %q has %d workers", name, domain.Workers)
		}
	}
	return nil
}

// DecodeHead decodes a head from JSON and validates it.
func DecodeHead(raw []byte) (Head, error) {
	var head Head
	if len(raw) > MaxHeadBytes {
		return Head{}, eris.Errorf("the head has %d bytes, and at most %d are allowed", len(raw), MaxHeadBytes)
	}
	if err := json.Unmarshal(raw, &head); err != nil {
		return Head{}, eris.Wrap(err, "decoding the head")
	}
	if err := head.Validate(); err != nil {
		return Head{}, err
	}
	return head, nil
}

// encode returns the head as JSON. The bounds on its content keep it below MaxHeadBytes.
func (h Head) encode() ([]byte, error) {
	raw, err := json.Marshal(h)
	if err != nil {
		return nil, eris.Wrap(err, "encoding the head")
	}
	if len(raw) > MaxHeadBytes {
		return nil, eris.Errorf("the head has %d bytes, and at most %d are allowed", len(raw), MaxHeadBytes)
	}
	return raw, nil
}

// ConflictError means that another change was accepted after the base revision of a change.
type ConflictError struct {
	Base    int64 `json:"base"`
	Current int64 `json:"current"`
}

// Error returns a message with both revisions.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("the change is based on revision %d, and the configuration is at revision %d", e.Base, e.Current)
}
