// Package processtest lets a test binary run as the processes of a fleet. Several processes can't run in one process of
// the system, since their metrics would be registered twice.
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

// Environment variables with which the test binary runs as a process of a fleet.
const (
	roleVariable     = "QUETZALSHED_TEST_ROLE"
	settingsVariable = "QUETZALSHED_TEST_SETTINGS"
)

// Main is the TestMain of a package whose tests start processes. It returns only in the process of the tests.
func Main(m *testing.M) int {
	role := os.Getenv(roleVariable)
	if role == "" {
		return m.Run()
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	process, err := kernel.LoadProcess(kernel.Role(role), os.Getenv(settingsVariable))
	if err == nil {
		err = process.Run(ctx)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}

// Command returns a command that runs a process of a role with a settings file.
func Command(role kernel.Role, settings string) *exec.Cmd {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), roleVariable+"="+string(role), settingsVariable+"="+settings)
	cmd.Stderr = os.Stderr
	return cmd
}
