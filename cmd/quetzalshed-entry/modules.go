package main

// The imported packages register their modules for the entry.
import (
	_ "github.com/quetzalshed/quetzalshed/config/configmodule"
	_ "github.com/quetzalshed/quetzalshed/entry/jobs"
	_ "github.com/quetzalshed/quetzalshed/entry/operators"
	_ "github.com/quetzalshed/quetzalshed/entry/requests"
	_ "github.com/quetzalshed/quetzalshed/gossip"
	_ "github.com/quetzalshed/quetzalshed/store/storemodule"
)
