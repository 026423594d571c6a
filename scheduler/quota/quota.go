// Package quota limits what teams use and orders teams by fair share.
package quota

import "github.com/quetzalshed/quetzalshed/structs"

const (
	// Unlimited in a field of a limit means that the resource is not limited.
	Unlimited = -1
	// MaxTeams limits the accounts of a table. Further teams share one account with the default limit.
	MaxTeams     = 4096
	overflowTeam = "\x00other"
)

// Limits holds what teams may use at the same time. The zero value has no limits.
type Limits struct {
	// Teams maps a team to its limit. A negative field is unlimited.
	Teams map[string]structs.Resources
	// Default applies to teams without an entry; nil means no limit.
	Default *structs.Resources
	// Weights maps a team to its weight in fair sharing. Teams without an entry have weight 1.
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

// ExceededBy reports whether r alone exceeds the limit of a team, so that it can never run.
func (l *Limits) ExceededBy(team string, r structs.Resources) bool {
	limit, ok := l.Limit(team)
	return ok && !within(r, limit)
}

func within(r, limit structs.Resources) bool {
	return fieldWithin(r.MilliCores, limit.MilliCores) && fieldWithin(r.MemoryMB, limit.MemoryMB) &&
		fieldWithin(r.Accelerators, limit.Accelerators)
}

func fieldWithin(used, limit int64) bool { return limit < 0 || used <= limit }

// Table counts the usage of teams. It is not safe for concurrent use.
type Table struct {
	limits *Limits
	total  structs.Resources
	teams  map[string]*Account
	// firstAccounts holds the first accounts. A plan looks up the team of each running task, and pending tasks mostly
	// belong to few teams; for these, comparing names is cheaper than the map.
	firstAccounts [4]namedAccount
}

type namedAccount struct {
	team    string
	account *Account
}

// Account counts the usage of one team.
type Account struct {
	used    structs.Resources
	total   structs.Resources
	limit   structs.Resources
	limited bool
	weight  float64
}

// NewTable returns a table without usage. Dominant shares are fractions of total.
func NewTable(limits *Limits, total structs.Resources) *Table {
	return &Table{limits: limits, total: total, teams: map[string]*Account{}}
}

// Find returns the account of a team, or nil if none is open. Once MaxTeams accounts are open, further teams get the
// shared one.
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

// OpenAccount returns the account of a team and opens it if needed. It is valid as long as the table.
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

// Charge adds r to the usage of the team.
func (a *Account) Charge(r structs.Resources) { a.used = a.used.Add(r) }

// Allows reports whether the team may use r in addition.
func (a *Account) Allows(r structs.Resources) bool {
	return !a.limited || within(a.used.Add(r), a.limit)
}

// Used returns the usage of the team.
func (a *Account) Used() structs.Resources { return a.used }

// DominantShare returns the largest fraction of the total that the team uses of any resource, divided by the team's
// weight. The team with the smallest share is served next.
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
