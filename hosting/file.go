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

// filePollInterval is how often a file is read, since it may change without a SIGHUP.
const filePollInterval = 5 * time.Second

// FollowFile reads a file again at each SIGHUP and at intervals until ctx ends, and calls apply with its content when
// it has changed. If the file can't be read or apply returns an error, the previous settings stay in force.
func FollowFile(ctx context.Context, path string, log hclog.Logger, apply func(data []byte) error) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	ticker := time.NewTicker(filePollInterval)
	defer ticker.Stop()
	last, err := os.ReadFile(path)
	if err != nil {
		log.Warn("reading the settings file failed", "error", err)
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			log.Info("reloading settings", "cause", "SIGHUP")
		case <-ticker.C:
		}
		data, err := os.ReadFile(path)
		if err != nil {
			log.Warn("reading the settings file failed, the previous settings stay in force", "error", err)
			continue
		}
		if bytes.Equal(data, last) {
			continue
		}
		last = data
		if err := apply(data); err != nil {
			log.Warn("settings are invalid, the previous settings stay in force", "error", err)
			continue
		}
		log.Info("settings have changed")
	}
}
