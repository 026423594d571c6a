// Package kernel manages the lifecycle of a process: settings, logs, metrics, traces, HTTP servers, and the modules
// that are registered for the role of the process.
package kernel

import (
	"context"
	"fmt"
	"slices"

	"github.com/rotisserie/eris"
)

// Role is a kind of process.
type Role string

// The roles of processes.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// Module is a component of a process with its own settings and lifecycle.
type Module interface {
	// Settings returns a pointer to the struct into which the module's settings section is decoded, or nil if it has none.
	Settings() any
	// Provision connects the module to other modules and registers its HTTP routes. It does no I/O.
	Provision(c *Context) error
	// Start starts background work and returns. The work ends when ctx ends.
	Start(ctx context.Context) error
	// Stop ends background work. It returns early if ctx ends.
	Stop(ctx context.Context) error
}

// Drainer is implemented by modules that take part in a graceful shutdown.
type Drainer interface {
	// Drain stops accepting new work and returns when accepted work is done or ctx ends.
	Drain(ctx context.Context) error
}

// ReadyChecker is implemented by modules that can delay the readiness of the process.
type ReadyChecker interface {
	// Ready returns nil if the module can accept work, and otherwise an error with the reason.
	Ready() error
}

// ModuleInfo describes a module to the registry.
type ModuleInfo struct {
	// Name is unique and is also the name of the module's settings section.
	Name string
	// Roles lists the kinds of process that run the module.
	Roles []Role
	// After lists modules that are provisioned and started before this one, if the process runs them.
	After []string
	New   func() Module
}

var registry = map[string]ModuleInfo{}

// RegisterModule adds a module to the registry. It must be called from init, and panics on a duplicate name.
func RegisterModule(info ModuleInfo) {
	if _, exists := registry[info.Name]; exists {
		panic(fmt.Sprintf("kernel: module %q is registered twice", info.Name))
	}
	registry[info.Name] = info
}

// modulesForRole returns the modules of a role, each sorted after the modules that its After lists.
func modulesForRole(role Role) ([]ModuleInfo, error) {
	names := make([]string, 0, len(registry))
	for name, info := range registry {
		if slices.Contains(info.Roles, role) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	const visiting, done = 1, 2
	state := map[string]int{}
	var ordered []ModuleInfo
	var visit func(name string) error
	visit = func(name string) error {
		switch state[name] {
		case done:
			return nil
		case visiting:
			return eris.Errorf("module %q depends on itself", name)
		}
		state[name] = visiting
		for _, dependency := range registry[name].After {
			if !slices.Contains(names, dependency) {
				continue
			}
			if err := visit(dependency); err != nil {
				return err
			}
		}
		state[name] = done
		ordered = append(ordered, registry[name])
		return nil
	}
	for _, name := range names {
		if err := visit(name); err != nil {
			return nil, err
		}
	}
	return ordered, nil
}
