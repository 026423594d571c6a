// Command quetzalshed-entry runs the entry process.
package main

import "github.com/quetzalshed/quetzalshed/kernel"

func main() {
	kernel.Main(kernel.RoleEntry, "Serves callers and operators")
}
