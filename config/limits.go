// Package config parses, validates and distributes the operators' configuration: the inventory of workers, the rules,
// and which failure domains are out of service.
//
// The head (key HeadKey) holds the revision in force and the hashes of its blobs. An Acceptor validates a change,
// writes its blobs and replaces the head by compare-and-swap. A Follower holds the newest head that a process has seen
// and the time at which that head was last confirmed as current.
package config

import (
	"fmt"
	"regexp"
	"time"
)

// Bounds of the configuration.
const (
	// MaxInventoryBytes bounds an inventory file. 20,000 rows of 200 bytes are 4 MB.
	MaxInventoryBytes = 8 << 20
	// MaxRulesBytes bounds a rules file.
	MaxRulesBytes = 256 << 10
	// MaxWorkers bounds the inventory: six times the fleet expected within two years.
	MaxWorkers = 20_000
	// MaxFailureDomains keeps the head below MaxHeadBytes; 18 domains are expected within two years.
	MaxFailureDomains = 24
	// MaxServices bounds the service sections in the rules.
	MaxServices = 256
	// MaxTeams bounds the teams with quotas; 120 are expected within two years.
	MaxTeams = 1000
	// MaxShards bounds the number of shards; 54 are expected within two years.
	MaxShards = 1024
	// MaxHeadBytes bounds the encoded head, which is part of gossip messages and heartbeat replies.
	MaxHeadBytes = 4 << 10
	// MaxFindings bounds the findings that are reported for one input. One more finding gives the number omitted.
	MaxFindings = 200
	// maxNameBytes bounds the names of workers, racks, services and teams.
	maxNameBytes = 63
	// maxDomainNameBytes bounds the names of failure domains, which are part of the head.
	maxDomainNameBytes = 32
)

// DefaultStartFreshness is the default of Rules.StartFreshness.
const DefaultStartFreshness = 3 * time.Second

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// checkName returns a message if the name is invalid, and otherwise an empty string.
func checkName(name string, limit int) string {
	switch {
	case name == "":
		return "a name is required"
	case len(name) > limit:
		return fmt.Sprintf("name is longer than %d bytes", limit)
	case !namePattern.MatchString(name):
		return fmt.Sprintf("%.80q is not a name of letters, digits, '.', '_' and '-' that starts with a letter or digit", name)
	}
	return ""
}
