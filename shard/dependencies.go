package shard

import (
	"github.com/quetzalshed/quetzalshed/config"
	"github.com/quetzalshed/quetzalshed/config/configmodule"
	"github.com/quetzalshed/quetzalshed/gossip"
	"github.com/quetzalshed/quetzalshed/kernel"
	"github.com/quetzalshed/quetzalshed/store"
	"github.com/quetzalshed/quetzalshed/store/storemodule"
)

// Dependencies are the components that a process needs to reach shard owners.
type Dependencies struct {
	Store    store.Store
	Follower *config.Follower
	Owners   *gossip.OwnerTable
}

// DependencyModules are the modules that ResolveDependencies looks up, for ModuleInfo.After.
var DependencyModules = []string{storemodule.Name, configmodule.Name, gossip.Name}

// ResolveDependencies looks up the dependencies, or returns an error that names the missing module.
func ResolveDependencies(c *kernel.Context) (Dependencies, error) {
	stores, err := kernel.Require[interface{ Store() store.Store }](c, storemodule.Name)
	if err != nil {
		return Dependencies{}, err
	}
	configs, err := kernel.Require[interface{ Follower() *config.Follower }](c, configmodule.Name)
	if err != nil {
		return Dependencies{}, err
	}
	owners, err := kernel.Require[interface{ Owners() *gossip.OwnerTable }](c, gossip.Name)
	if err != nil {
		return Dependencies{}, err
	}
	return Dependencies{Store: stores.Store(), Follower: configs.Follower(), Owners: owners.Owners()}, nil
}
