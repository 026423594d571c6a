// Package gossip exchanges the configuration head and the owners of shards between processes.
//
// A message names the sender's revision and a digest of its owners. The head and the owners themselves are sent only to
// a peer that is known to lack them, so that a message between two processes that agree has a few hundred bytes.
package gossip

import (
	"strconv"

	"github.com/rotisserie/eris"

	"github.com/quetzalshed/quetzalshed/config"
	"github.com/quetzalshed/quetzalshed/kernel"
	"github.com/quetzalshed/quetzalshed/structs"
)

// ProtocolVersion is the lowest version that a message may have.
const ProtocolVersion = 1

// maxMessageBytes bounds a message. The owners of config.MaxShards shards need about 72 KB.
const maxMessageBytes = 256 << 10

// Message is sent in both directions of an exchange.
type Message struct {
	Version int         `json:"version"`
	Fleet   string      `json:"fleet"`
	From    string      `json:"from"`
	Role    kernel.Role `json:"role"`
	// Address is where the sender receives messages.
	Address string       `json:"address"`
	Config  config.Proof `json:"config"`
	// OwnersDigest is the digest of the sender's owners in hexadecimal.
	OwnersDigest string `json:"owners_digest"`
	// Owners is left out when the receiver is known to have the same ones.
	Owners []structs.ShardOwner `json:"owners,omitempty"`
}

// RejectReason names why a message was rejected, in counters.
type RejectReason string

// The reasons for which a message is rejected.
const (
	ReasonMalformed RejectReason = "malformed"
	ReasonFleet     RejectReason = "fleet"
	ReasonVersion   RejectReason = "version"
	ReasonConfig    RejectReason = "config"
	ReasonOwners    RejectReason = "owners"
)

// validate returns the reason for which a message must be rejected.
func (m Message) validate(fleet string) (RejectReason, error) {
	if m.Fleet != fleet {
		return ReasonFleet, eris.Errorf("the message is from fleet %.80q", m.Fleet)
	}
	if m.Version < ProtocolVersion {
		return ReasonVersion, eris.Errorf("protocol version %d is below %d", m.Version, ProtocolVersion)
	}
	if err := m.Config.Validate(); err != nil {
		return ReasonConfig, err
	}
	if len(m.Owners) > config.MaxShards {
		return ReasonOwners, eris.Errorf("the message has %d owners", len(m.Owners))
	}
	for _, owner := range m.Owners {
		if !validOwner(owner) {
			return ReasonOwners, eris.Errorf("the owner of shard %d is invalid", owner.Shard)
		}
	}
	if _, err := m.digest(); err != nil {
		return ReasonOwners, err
	}
	return "", nil
}

func (m Message) digest() (uint64, error) {
	digest, err := strconv.ParseUint(m.OwnersDigest, 16, 64)
	return digest, eris.Wrap(err, "digest of the owners")
}
