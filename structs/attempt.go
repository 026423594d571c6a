package structs

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// maxAttemptIDBytes is the maximum length of an attempt ID.
const maxAttemptIDBytes = 96

// AttemptID returns the ID of an attempt of an entry process. The sequence must increase with each attempt of an incarnation:
// an agent that no longer has the record of an attempt recognizes an old one by its sequence.
func AttemptID(entryIncarnation string, sequence uint64) string {
	return fmt.Sprintf("%s-%016x", entryIncarnation, sequence)
}

// ParseAttemptID splits an attempt ID into its parts. ordered is false for valid IDs without a sequence; ok is false for
// invalid IDs.
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

// UpstreamRegistration is the request with which an upstream registers with the agent on its host and renews the registration.
type UpstreamRegistration struct {
	Service string `json:"service"`
	// Address is the IP address and port on which the upstream listens.
	Address string `json:"address"`
	// Slots is the maximum number of requests that the upstream runs at the same time.
	Slots int `json:"slots"`
	// Connections is the maximum number of connections that the upstream accepts.
	Connections int `json:"connections"`
}

// UpstreamReply is the response to a registration.
type UpstreamReply struct {
	// RenewAfterMillis is the time until the agent expects the next renewal.
	RenewAfterMillis int64 `json:"renew_after_millis"`
	// AgentIncarnation is unique to each start of the agent.
	AgentIncarnation string `json:"agent_incarnation"`
}
