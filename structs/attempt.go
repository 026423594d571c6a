package structs

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// maxAttemptIDBytes bounds the length of an attempt ID in bytes.
const maxAttemptIDBytes = 96

// AttemptID returns the ID of an attempt of one entry process. Sequence must grow with each attempt of an incarnation:
// an agent that has forgotten an attempt recognizes by the sequence that the attempt is an old one.
func AttemptID(entryIncarnation string, sequence uint64) string {
	return fmt.Sprintf("%s-%016x", entryIncarnation, sequence)
}

// ParseAttemptID splits an attempt ID. ordered is false for valid IDs that carry no sequence; ok is false for invalid IDs.
func ParseAttemptID(id string) (incarnation string, sequence uint64, ordered, ok bool) {
	if id == "" || len(id) > maxAttemptIDBytes {
		return "", 0, false, false
	}
	for i := range len(id) {
		c := id[i]
		if (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') && (c < '0' || c > '9') && c != '-' && c != '_' && c != '.' {
			return "", 0, false, false
		}
	}
	dash := strings.LastIndexByte(id, '-')
	if dash <= 0 || len(id)-dash-1 != 16 {
		return "", 0, false, true
	}
	sequence, err := strconv.ParseUint(id[dash+1:], 16, 64)
	if err != nil {
		return "", 0, false, true
	}
	return id[:dash], sequence, true, true
}

// Checksum returns the value of HeaderChecksum for a body: its xxhash64 as 16 hexadecimal digits.
func Checksum(body []byte) string {
	return fmt.Sprintf("%016x", xxhash.Sum64(body))
}

// UpstreamRegistration is what an upstream sends to the agent on its host, first to register and then to renew.
type UpstreamRegistration struct {
	Service string `json:"service"`
	// Address is the IP address and port at which the upstream answers.
	Address string `json:"address"`
	// Slots is how many requests the upstream runs at the same time.
	Slots int `json:"slots"`
	// Connections is how many connections the upstream accepts.
	Connections int `json:"connections"`
}

// UpstreamReply answers a registration.
type UpstreamReply struct {
	// RenewAfterMillis is when the agent expects the next renewal.
	RenewAfterMillis int64 `json:"renew_after_millis"`
	// AgentIncarnation differs for each start of the agent.
	AgentIncarnation string `json:"agent_incarnation"`
}
