package config

import (
	"context"
	"maps"
	"time"

	"github.com/rotisserie/eris"

	"github.com/quetzalshed/quetzalshed/findings"
)

// Change is one change of the configuration. At least one of its parts is set.
type Change struct {
	// ID identifies the change across repetitions; Apply generates one when it is empty.
	ID        string
	Inventory *InventoryFile
	Rules     *RulesFile
	Domain    *DomainChange
}

// InventoryFile is an inventory to apply.
type InventoryFile struct {
	Name   string
	Format Format
	Data   []byte
}

// RulesFile is a rules file to apply.
type RulesFile struct {
	Name string
	Data []byte
}

// DomainChange takes a failure domain out of service or returns it.
type DomainChange struct {
	Name string
	Out  bool
}

// maxChangeIDBytes bounds the ID of a change, which is part of the head.
const maxChangeIDBytes = 32

func (c Change) validate(base int64) error {
	var found findings.List
	if c.Inventory == nil && c.Rules == nil && c.Domain == nil {
		found.Addf(findings.Location{}, "the change is empty")
	}
	if base < AnyBase {
		found.Addf(findings.Location{Key: "base"}, "base revision %d is negative", base)
	}
	if base == AnyBase && (c.Inventory != nil || c.Rules != nil) {
		found.Addf(findings.Location{Key: "base"}, "a change of the inventory or the rules requires its base revision")
	}
	if message := checkName(c.ID, maxChangeIDBytes); message != "" {
		found.Addf(findings.Location{Key: "change ID"}, "%s", message)
	}
	return found.Err()
}

// prepareHead validates a change and returns the head that follows from it with the blobs that the old head doesn't name.
func (a *Acceptor) prepareHead(ctx context.Context, old Head, change Change) (Head, []pendingBlob, error) {
	next := Head{
		Revision: old.Revision + 1, Changes: append([]string{change.ID}, old.Changes...),
		RulesHash: old.RulesHash, StartFreshnessMillis: old.StartFreshnessMillis, Domains: maps.Clone(old.Domains),
	}
	next.Changes = next.Changes[:min(len(next.Changes), maxChanges)]
	if next.Domains == nil {
		next.Domains = map[string]DomainState{}
	}
	if next.StartFreshnessMillis == 0 {
		next.StartFreshnessMillis = DefaultStartFreshness.Milliseconds()
	}
	var blobs []pendingBlob
	if change.Inventory != nil || change.Rules != nil {
		inventory, rules, err := a.validate(ctx, old, change)
		if err != nil {
			return Head{}, nil, err
		}
		blobs = next.setContent(old, inventory, rules)
	}
	if change.Domain != nil {
		state, ok := next.Domains[change.Domain.Name]
		if !ok {
			var found findings.List
			found.Addf(findings.Location{}, "failure domain %.80q is not in the inventory", change.Domain.Name)
			return Head{}, nil, found.Err()
		}
		state.Out = change.Domain.Out
		next.Domains[change.Domain.Name] = state
	}
	return next, blobs, nil
}

// validate parses what a change holds, loads the rest of the configuration, and checks one against the other.
func (a *Acceptor) validate(ctx context.Context, old Head, change Change) (*Inventory, *ParsedRules, error) {
	var found findings.List
	var inventory *Inventory
	var rules *ParsedRules
	if change.Inventory != nil {
		parsed, problems := ParseInventory(change.Inventory.Name, change.Inventory.Format, change.Inventory.Data)
		inventory = parsed
		found.Merge(problems)
	}
	if change.Rules != nil {
		parsed, problems := ParseRules(change.Rules.Name, change.Rules.Data)
		rules = parsed
		found.Merge(problems)
	}
	if err := found.Err(); err != nil {
		return nil, nil, err
	}
	if inventory == nil {
		loaded, err := a.blobs.LoadInventory(ctx, old)
		if err != nil {
			return nil, nil, eris.Wrap(err, "loading the inventory in force")
		}
		inventory = loaded
	}
	if rules == nil {
		loaded, err := a.loadParsedRules(ctx, old)
		if err != nil {
			return nil, nil, eris.Wrap(err, "loading the rules in force")
		}
		rules = loaded
	}
	found = rules.Check(inventory)
	return inventory, rules, found.Err()
}

// rulesInForce names the rules of the current configuration in findings.
const rulesInForce = "rules in force"

func (a *Acceptor) loadParsedRules(ctx context.Context, head Head) (*ParsedRules, error) {
	_, source, err := a.blobs.LoadRules(ctx, head)
	if err != nil {
		return nil, err
	}
	rules, found := ParseRules(rulesInForce, source)
	return rules, found.Err()
}

// setContent names the content in the head and returns the blobs that the old head doesn't name. Failure domains that
// remain keep their state; new ones are in service.
func (h *Head) setContent(old Head, inventory *Inventory, rules *ParsedRules) []pendingBlob {
	var blobs []pendingBlob
	raw := encodeRules(rules)
	h.RulesHash = HashBlob(raw)
	h.StartFreshnessMillis = int64(rules.Rules.StartFreshness / time.Millisecond)
	if h.RulesHash != old.RulesHash {
		blobs = append(blobs, pendingBlob{kind: BlobRules, hash: h.RulesHash, raw: raw})
	}
	h.Domains = map[string]DomainState{}
	for _, domain := range inventory.FailureDomains() {
		raw := encodeDomain(inventory, domain)
		state := DomainState{
			Out: old.Domains[domain].Out, InventoryHash: HashBlob(raw), Workers: len(inventory.InDomain(domain)),
		}
		if state.InventoryHash != old.Domains[domain].InventoryHash {
			blobs = append(blobs, pendingBlob{kind: BlobInventory, hash: state.InventoryHash, raw: raw})
		}
		h.Domains[domain] = state
	}
	return blobs
}

// sameContent tells whether two heads differ in their revision and changes only.
func (h Head) sameContent(other Head) bool {
	return h.RulesHash == other.RulesHash && h.StartFreshnessMillis == other.StartFreshnessMillis &&
		maps.Equal(h.Domains, other.Domains)
}
