package main

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"pistachiomount.example/pistachiomount/platform"
)

// settingsCheck is how often the settings file is read for a change without a signal.
const settingsCheck = 3 * time.Second

// watchSettings calls apply with the settings whenever their file has changed, which
// SIGHUP may announce. A file that cannot be used leaves the old settings in force.
func watchSettings(ctx context.Context, log logrus.FieldLogger, apply func(*platform.Settings)) {
	path := os.Getenv(platform.SettingsVariable)
	changed := make(chan os.Signal, 1)
	signal.Notify(changed, syscall.SIGHUP)
	defer signal.Stop(changed)
	last, _ := os.ReadFile(path) // it was read a moment ago; if not, the next check reports why
	ticker := time.NewTicker(settingsCheck)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-changed:
			log.Info("settings are read again on SIGHUP")
		case <-ticker.C:
		}
		raw, err := os.ReadFile(path)
		if err != nil {
			log.WithError(err).Error("settings file not read; the old settings stay in force")
			continue
		}
		if bytes.Equal(raw, last) {
			continue
		}
		last = raw
		s, err := platform.DecodeSettings(raw)
		if err != nil {
			log.WithError(err).Error("settings file not usable; the old settings stay in force")
			continue
		}
		log.WithField("seeds", s.Seeds).Info("settings changed: seeds are in force, the rest at the next start")
		apply(s)
	}
}
