package scheduler

import (
	"github.com/quetzalshed/quetzalshed/scheduler/quota"
	"github.com/quetzalshed/quetzalshed/structs"
)

// openAccounts opens the quota accounts of the teams with pending tasks. The usage of other teams doesn't affect the
// plan.
func (c *Cycle) openAccounts() {
	var total structs.Resources
	for i := range c.workers {
		total = total.Add(c.workers[i].Capacity)
	}
	c.quotas = quota.NewTable(&c.snapshot.Quotas, total)
	for i := range c.snapshot.Pending {
		c.quotas.OpenAccount(c.snapshot.Pending[i].Job.Team)
	}
	for team, used := range c.snapshot.Used {
		c.charge(team, used)
	}
}

// teamAccount returns the quota account of a team. An account that was not opened for a pending task is opened now and
// charged with the team's usage.
func (c *Cycle) teamAccount(team string) *quota.Account {
	if account := c.quotas.Find(team); account != nil {
		return account
	}
	account := c.quotas.OpenAccount(team)
	account.Charge(c.snapshot.Used[team])
	for i := range c.workers {
		for k := range c.workers[i].Running {
			if t := &c.workers[i].Running[k]; t.Job.Team == team {
				account.Charge(t.Resources)
			}
		}
	}
	return account
}

// charge adds to the usage of a team if the team has an account.
func (c *Cycle) charge(team string, r structs.Resources) {
	if account := c.quotas.Find(team); account != nil {
		account.Charge(r)
	}
}
