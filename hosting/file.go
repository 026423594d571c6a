package hosting

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
)

// filePollInterval is how often a file is looked at, since it may change without a signal.
const filePollInterval = 5 * time.Second

// FollowFile reads a file again at each SIGHUP and at intervals, and passes it on when it has changed, until ctx ends. A
// file that can't be read, or that apply rejects, leaves what was passed on before in force.
func FollowFile(ctx context.Context, path string, log hclog.Logger, apply func(data []byte) error) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	ticker := time.NewTicker(filePollInterval)
	defer ticker.Stop()
	last, err := os.ReadFile(path)
	if err != nil {
		log.Warn("settings can't be read", "error", err)
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			log.Info("settings are read again", "cause", "SIGHUP")
		case <-ticker.C:
		}
		data, err := os.ReadFile(path)
		if err != nil {
			log.Warn("settings can't be read, the former ones hold", "error", err)
			continue
		}
		if bytes.Equal(data, last) {
			continue
		}
		last = data
		if err := apply(data); err != nil {
			log.Warn("settings are invalid, the former ones hold", "error", err)
			continue
		}
		log.Info("settings have changed")
	}
}
