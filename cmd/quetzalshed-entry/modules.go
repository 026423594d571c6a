package main

// The imported packages register the modules of the entry process.
import (
	_ "github.com/quetzalshed/quetzalshed/config/configmodule"
	_ "github.com/quetzalshed/quetzalshed/entry/jobs"
	_ "github.com/quetzalshed/quetzalshed/entry/operators"
	_ "github.com/quetzalshed/quetzalshed/entry/requests"
	_ "github.com/quetzalshed/quetzalshed/gossip"
	_ "github.com/quetzalshed/quetzalshed/store/storemodule"
)
