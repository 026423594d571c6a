package config

import (
	"fmt"
	"slices"
	"strings"

	"github.com/quetzalshed/quetzalshed/findings"
)

// Check validates the rules against an inventory and sets Rules.RacksWithoutBatch to qualified rack names. It returns
// all findings.
func (p *ParsedRules) Check(inventory *Inventory) findings.List {
	var found findings.List
	addf := func(section, key, format string, args ...any) {
		found.Addf(p.location(section, key), format, args...)
	}
	p.Rules.RacksWithoutBatch = nil
	for _, name := range p.rackNames {
		qualified, message := resolveRack(inventory, name)
		if message == "" && slices.Contains(p.Rules.RacksWithoutBatch, qualified) {
			message = fmt.Sprintf("rack %q is given more than once", qualified)
		}
		if message != "" {
			addf("batch", "racks_without_batch", "%s", message)
			continue
		}
		p.Rules.RacksWithoutBatch = append(p.Rules.RacksWithoutBatch, qualified)
	}
	slices.Sort(p.Rules.RacksWithoutBatch)
	domains := len(inventory.FailureDomains())
	for _, service := range p.Rules.Services {
		section := servicePrefix + service.Name
		for _, domain := range service.FailureDomains {
			if !inventory.HasDomain(domain) {
				addf(section, "failure_domains", "failure domain %.80q is not in the inventory", domain)
			}
		}
		if service.SpreadDomains > domains {
			addf(section, "spread_domains", "spread_domains %d is above the %d failure domains of the inventory",
				service.SpreadDomains, domains)
		}
	}
	return limitFindings(p.file.Location("", "").File, found)
}

// resolveRack returns the qualified name "domain/rack" of a rack. The unqualified name "rack" is accepted if only one
// failure domain has such a rack.
func resolveRack(inventory *Inventory, name string) (qualified, message string) {
	if domain, rack, ok := strings.Cut(name, "/"); ok {
		if !slices.Contains(inventory.Racks(domain), rack) {
			return "", fmt.Sprintf("rack %.160q is not in the inventory", name)
		}
		return name, ""
	}
	var matches []string
	for _, domain := range inventory.FailureDomains() {
		if slices.Contains(inventory.Racks(domain), name) {
			matches = append(matches, domain+"/"+name)
		}
	}
	switch len(matches) {
	case 0:
		return "", fmt.Sprintf("rack %.80q is not in the inventory", name)
	case 1:
		return matches[0], ""
	}
	return "", fmt.Sprintf("rack %q is in several failure domains; write one of: %s", name, strings.Join(matches, ", "))
}
