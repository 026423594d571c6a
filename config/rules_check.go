package config

import (
	"fmt"
	"slices"
	"strings"

	"github.com/quetzalshed/quetzalshed/findings"
)

// Check compares the rules with an inventory and fills in the full names of racks. It returns all findings.
func (p *ParsedRules) Check(inventory *Inventory) findings.List {
	var found findings.List
	addf := func(section, key, format string, args ...any) {
		found.Addf(p.place(section, key), format, args...)
	}
	p.Rules.RacksWithoutBatch = nil
	for _, written := range p.racks {
		full, message := resolveRack(inventory, written)
		if message == "" && slices.Contains(p.Rules.RacksWithoutBatch, full) {
			message = fmt.Sprintf("rack %q is given more than once", full)
		}
		if message != "" {
			addf("batch", "racks_without_batch", "%s", message)
			continue
		}
		p.Rules.RacksWithoutBatch = append(p.Rules.RacksWithoutBatch, full)
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
	return limitFindings(p.file.Place("", "").File, found)
}

// resolveRack returns the full name of a rack that is written as "domain/rack", or as "rack" when only one domain has it.
func resolveRack(inventory *Inventory, written string) (full, message string) {
	if domain, rack, ok := strings.Cut(written, "/"); ok {
		if !slices.Contains(inventory.Racks(domain), rack) {
			return "", fmt.Sprintf("rack %.160q is not in the inventory", written)
		}
		return written, ""
	}
	var matches []string
	for _, domain := range inventory.FailureDomains() {
		if slices.Contains(inventory.Racks(domain), written) {
			matches = append(matches, domain+"/"+written)
		}
	}
	switch len(matches) {
	case 0:
		return "", fmt.Sprintf("rack %.80q is not in the inventory", written)
	case 1:
		return matches[0], ""
	}
	return "", fmt.Sprintf("rack %q is in several failure domains; write one of: %s", written, strings.Join(matches, ", "))
}
