// Package processtest runs copies of a test binary as the processes of a fleet. They can't share one operating system
// process, since their metrics would be registered twice.
package processtest

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"syscall"
	"testing"

	"github.com/quetzalshed/quetzalshed/kernel"
)

// Environment variables that make the test binary run as a process of a fleet.
const (
	roleEnv     = "QUETZALSHED_TEST_ROLE"
	settingsEnv = "QUETZALSHED_TEST_SETTINGS"
)

// Main implements TestMain for packages whose tests start processes: it runs the tests, or a process of a fleet if the
// environment selects a role. It returns the exit code.
func Main(m *testing.M) int {
	role := os.Getenv(roleEnv)
	if role == "" {
		return m.Run()
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	process, err := kernel.LoadProcess(kernel.Role(role), os.Getenv(settingsEnv))
	if err == nil {
		err = process.Run(ctx)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}

// Command returns a command that runs a process with a role and a settings file.
func Command(role kernel.Role, settings string) *exec.Cmd {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), roleEnv+"="+string(role), settingsEnv+"="+settings)
	cmd.Stderr = os.Stderr
	return cmd
}
