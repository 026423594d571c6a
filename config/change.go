package config

import (
	"context"
	"maps"
	"time"

	"github.com/rotisserie/eris"

	"github.com/quetzalshed/quetzalshed/findings"
)

// Change is a change of the configuration. At least one of Inventory, Rules and Domain is set.
type Change struct {
	// ID makes retries of the change idempotent; Apply generates one if it is empty.
	ID        string
	Inventory *InventoryFile
	Rules     *RulesFile
	Domain    *DomainChange
}

// InventoryFile is an inventory file to apply.
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

// DomainChange takes a failure domain out of service or returns it to service.
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

// prepareHead validates a change and returns the resulting head and the blobs that the old head doesn't refer to.
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

// validate parses the files of a change, loads the parts of the configuration that it leaves alone, and checks that the
// rules and the inventory are consistent.
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

// rulesInForce is the file name that findings give for the rules of the current configuration.
const rulesInForce = "rules in force"

func (a *Acceptor) loadParsedRules(ctx context.Context, head Head) (*ParsedRules, error) {
	_, source, err := a.blobs.LoadRules(ctx, head)
	if err != nil {
		return nil, err
	}
	rules, found := ParseRules(rulesInForce, source)
	return rules, found.Err()
}

// setContent sets the head's references to the rules and the inventory and returns the blobs that the old head doesn't
// refer to. Existing failure domains stay in or out of service; new ones are in service.
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

// sameContent reports whether two heads are equal except for their revision and change IDs.
func (h Head) sameContent(other Head) bool {
	return h.RulesHash == other.RulesHash && h.StartFreshnessMillis == other.StartFreshnessMillis &&
		maps.Equal(h.Domains, other.Domains)
}
