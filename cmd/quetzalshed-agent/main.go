// Command quetzalshed-agent runs the agent process.
package main

import "github.com/quetzalshed/quetzalshed/kernel"

func main() {
	kernel.Main(kernel.RoleAgent, "Serves the upstreams and the worker of one host")
}
