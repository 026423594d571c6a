// Package gossip exchanges the configuration head and the shard owners between processes.
//
// Each message contains the revision of the sender and a digest of its owners. The head and the owners are included
// only if the receiver is known to lack them, which keeps messages between up-to-date processes at a few hundred bytes.
package gossip

import (
	"strconv"

	"github.com/rotisserie/eris"

	"github.com/quetzalshed/quetzalshed/config"
	"github.com/quetzalshed/quetzalshed/kernel"
	"github.com/quetzalshed/quetzalshed/structs"
)

// ProtocolVersion is the version of sent messages and the minimum version of received ones.
const ProtocolVersion = 1

// maxMessageBytes limits the size of a message. The owners of config.MaxShards shards take about 72 KB.
const maxMessageBytes = 256 << 10

// Message is the request and the response of an exchange.
type Message struct {
	Version int         `json:"version"`
	Fleet   string      `json:"fleet"`
	From    string      `json:"from"`
	Role    kernel.Role `json:"role"`
	// Address is the sender's address for gossip messages.
	Address string                `json:"address"`
	Config  config.FreshnessProof `json:"config"`
	// OwnersDigest is the hexadecimal digest of the sender's owners.
	OwnersDigest string `json:"owners_digest"`
	// Owners is omitted if the receiver is known to have the same owners.
	Owners []structs.ShardOwner `json:"owners,omitempty"`
}

// RejectReason is the reason for rejecting a message, as used in metric labels.
type RejectReason string

// Reasons for rejecting a message.
const (
	ReasonMalformed RejectReason = "malformed"
	ReasonFleet     RejectReason = "fleet"
	ReasonVersion   RejectReason = "version"
	ReasonConfig    RejectReason = "config"
	ReasonOwners    RejectReason = "owners"
)

// validate returns an error and the reject reason if the message is invalid.
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
