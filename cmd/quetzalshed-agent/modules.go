package main

// The imported packages register the modules of the agent process and the plug-ins of the scheduler.
import (
	_ "github.com/quetzalshed/quetzalshed/agent/announcer"
	_ "github.com/quetzalshed/quetzalshed/agent/requests"
	_ "github.com/quetzalshed/quetzalshed/agent/runner"
	_ "github.com/quetzalshed/quetzalshed/config/configmodule"
	_ "github.com/quetzalshed/quetzalshed/gossip"
	_ "github.com/quetzalshed/quetzalshed/scheduler/plugins"
	_ "github.com/quetzalshed/quetzalshed/shard"
	_ "github.com/quetzalshed/quetzalshed/store/storemodule"
)
