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

// settingsPollInterval is how often the settings file is read for a change without a signal.
const settingsPollInterval = 3 * time.Second

// settingsWatcher notices changes of the settings file, which SIGHUP may announce.
type settingsWatcher struct {
	log         logrus.FieldLogger
	path        string
	hangup      chan os.Signal
	lastContent []byte
}

// newSettingsWatcher returns a watch. From here on SIGHUP does not end the process.
func newSettingsWatcher(log logrus.FieldLogger) *settingsWatcher {
	w := &settingsWatcher{log: log, path: os.Getenv(platform.SettingsVariable), hangup: make(chan os.Signal, 1)}
	signal.Notify(w.hangup, syscall.SIGHUP)
	w.lastContent, _ = os.ReadFile(w.path) // it was read a moment ago; if not, the next check reports why
	return w
}

// run calls apply with the settings whenever their file has changed. A file that
// cannot be used leaves the old settings in force.
func (w *settingsWatcher) run(ctx context.Context, apply func(*platform.Settings)) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.hangup:
			w.log.Info("settings are read again on SIGHUP")
		case <-ticker.C:
		}
		if s := w.reloadIfChanged(); s != nil {
			w.log.WithField("seeds", s.Seeds).Info("settings changed: seeds are in force, the rest at the next start")
			apply(s)
		}
	}
}

// reloadIfChanged returns the settings if their file has changed and can be used.
func (w *settingsWatcher) reloadIfChanged() *platform.Settings {
	raw, err := os.ReadFile(w.path)
	if err != nil {
		w.log.WithError(err).Error("settings file not read; the old settings stay in force")
		return nil
	}
	if bytes.Equal(raw, w.lastContent) {
		return nil
	}
	w.lastContent = raw
	s, err := platform.DecodeSettings(raw)
	if err != nil {
		w.log.WithError(err).Error("settings file not usable; the old settings stay in force")
		return nil
	}
	return s
}
