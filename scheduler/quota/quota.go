// Package quota holds what teams may use, and orders teams by their fair share.
package quota

import "github.com/quetzalshed/quetzalshed/structs"

const (
	// Unlimited in a field of a limit means that the field has no limit.
	Unlimited = -1
	// MaxTeams bounds a table. Teams beyond it share one account that has the default limit.
	MaxTeams     = 4096
	overflowTeam = "\x00other"
)

// Limits is what teams may use at the same time. The zero value limits nothing.
type Limits struct {
	// Teams maps a team to its limit. A negative field is unlimited.
	Teams map[string]structs.Resources
	// Default applies to teams without an entry; nil means no limit.
	Default *structs.Resources
	// Weights maps a team to its weight in fair sharing; teams without an entry have weight 1.
	Weights map[string]float64
}

// Limit returns the limit of a team and whether it has one.
func (l *Limits) Limit(team string) (structs.Resources, bool) {
	if limit, ok := l.Teams[team]; ok {
		return limit, true
	}
	if l.Default != nil {
		return *l.Default, true
	}
	return structs.Resources{}, false
}

// ExceededBy tells whether a team's limit is below r, so that r can never run.
func (l *Limits) ExceededBy(team string, r structs.Resources) bool {
	limit, ok := l.Limit(team)
	return ok && !within(r, limit)
}

func within(r, limit structs.Resources) bool {
	return fieldWithin(r.MilliCores, limit.MilliCores) && fieldWithin(r.MemoryMB, limit.MemoryMB) &&
		fieldWithin(r.Accelerators, limit.Accelerators)
}

func fieldWithin(used, limit int64) bool { return limit < 0 || used <= limit }

// Table counts what teams use. It is not safe for concurrent use.
type Table struct {
	limits *Limits
	total  structs.Resources
	teams  map[string]*Account
	// firstAccounts holds the firstAccounts accounts. A plan asks for the team of each running task and mostly has pending tasks of few
	// teams, for which comparing names is cheaper than the map.
	firstAccounts [4]namedAccount
}

type namedAccount struct {
	team    string
	account *Account
}

// Account counts what one team uses.
type Account struct {
	used    structs.Resources
	total   structs.Resources
	limit   structs.Resources
	limited bool
	weight  float64
}

// NewTable returns a table in which no team uses anything. Shares are computed of total.
func NewTable(limits *Limits, total structs.Resources) *Table {
	return &Table{limits: limits, total: total, teams: map[string]*Account{}}
}

// Find returns the account of a team, or nil if none has been opened. Beyond the bound it is the shared one.
func (t *Table) Find(team string) *Account {
	if len(t.teams) <= len(t.firstAccounts) {
		for i := range len(t.teams) {
			if t.firstAccounts[i].team == team {
				return t.firstAccounts[i].account
			}
		}
		return nil
	}
	if a := t.teams[team]; a != nil || len(t.teams) < MaxTeams {
		return a
	}
	return t.teams[overflowTeam]
}

// OpenAccount opens the account of a team if needed. It stays valid as long as the table.
func (t *Table) OpenAccount(team string) *Account {
	if a := t.teams[team]; a != nil {
		return a
	}
	if len(t.teams) >= MaxTeams {
		if a := t.teams[overflowTeam]; a != nil {
			return a
		}
		team = overflowTeam
	}
	a := &Account{weight: 1, total: t.total}
	a.limit, a.limited = t.limits.Limit(team)
	if weight, ok := t.limits.Weights[team]; ok && weight > 0 {
		a.weight = weight
	}
	if n := len(t.teams); n < len(t.firstAccounts) {
		t.firstAccounts[n] = namedAccount{team, a}
	}
	t.teams[team] = a
	return a
}

// Charge adds to what the team uses.
func (a *Account) Charge(r structs.Resources) { a.used = a.used.Add(r) }

// Allows tells whether the team may use r in addition.
func (a *Account) Allows(r structs.Resources) bool {
	return !a.limited || within(a.used.Add(r), a.limit)
}

// Used returns what the team uses.
func (a *Account) Used() structs.Resources { return a.used }

// DominantShare returns the dominant share of the team: the largest part of the total that it uses of any resource, divided by
// its weight. The team with the smallest share is served next.
func (a *Account) DominantShare() float64 {
	return max(fraction(a.used.MilliCores, a.total.MilliCores), fraction(a.used.MemoryMB, a.total.MemoryMB),
		fraction(a.used.Accelerators, a.total.Accelerators)) / a.weight
}

func fraction(used, total int64) float64 {
	if total <= 0 {
		return 0
	}
	return float64(used) / float64(total)
}
