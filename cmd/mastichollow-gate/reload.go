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

// settingsInterval is the pause between two looks at the settings file, which
// may change without a signal; changes must be in force within 2.5 s.
const settingsInterval = time.Second

// watchSettings applies changes of the settings file. What cannot change while
// the process runs, such as its addresses, waits for the next start.
func watchSettings(ctx context.Context, path string, s *platform.Settings, store *platform.Store, log hclog.Logger) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	last, err := os.ReadFile(path)
	if err != nil {
		log.Warn("settings file cannot be read", "error", err)
	}
	for {
		why := "changed"
		select {
		case <-ctx.Done():
			return
		case <-hup:
			why = "signal"
		case <-ticker.C:
		}
		data, err := os.ReadFile(path)
		if err != nil {
			log.Warn("settings file cannot be read", "error", err)
			continue
		}
		if why != "signal" && bytes.Equal(data, last) {
			continue
		}
		last = data
		fresh, err := platform.ParseSettings(data)
		if err != nil {
			log.Error("settings not reloaded, the ones before stay", "why", why, "error", err)
			continue
		}
		store.SetAddr(fresh.StoreAddr)
		log.Info("settings reloaded", "why", why, "store", fresh.StoreAddr, "needs_restart", fresh.CallerAddr != s.CallerAddr || fresh.ReadyAddr != s.ReadyAddr)
	}
}
