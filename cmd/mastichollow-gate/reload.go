package main

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/mastichollow/mastichollow/platform"
)

// settingsPollInterval is how often the settings file is read, since it may change without a
// signal. Changes must be in force within 2.5 s.
const settingsPollInterval = time.Second

// watchSettings applies changes of the settings file. Settings that cannot change while the
// process runs, such as its listen addresses, take effect at the next start.
func watchSettings(ctx context.Context, path string, s *platform.Settings, store *platform.Store, log hclog.Logger) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	lastData, err := os.ReadFile(path)
	if err != nil {
		log.Warn("settings file cannot be read", "error", err)
	}
	for {
		cause := "changed"
		select {
		case <-ctx.Done():
			return
		case <-hup:
			cause = "signal"
		case <-ticker.C:
		}
		data, err := os.ReadFile(path)
		if err != nil {
			log.Warn("settings file cannot be read", "error", err)
			continue
		}
		if cause != "signal" && bytes.Equal(data, lastData) {
			continue
		}
		lastData = data
		reloaded, err := platform.ParseSettings(data)
		if err != nil {
			log.Error("settings not reloaded; previous settings stay in force", "why", cause, "error", err)
			continue
		}
		store.SetAddr(reloaded.StoreAddr)
		log.Info("settings reloaded", "why", cause, "store", reloaded.StoreAddr, "needs_restart", reloaded.CallerAddr != s.CallerAddr || reloaded.ReadyAddr != s.ReadyAddr)
	}
}
