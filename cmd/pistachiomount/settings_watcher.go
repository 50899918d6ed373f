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

// settingsPollInterval is the interval at which the settings file is checked without a signal.
const settingsPollInterval = 3 * time.Second

// settingsWatcher detects changes of the settings file, on SIGHUP and by polling.
type settingsWatcher struct {
	log         logrus.FieldLogger
	path        string
	hangups     <-chan os.Signal
	lastContent []byte
}

// notifyHangups returns a channel that receives SIGHUP.
func notifyHangups() <-chan os.Signal {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups
}

// newSettingsWatcher returns a watcher that also checks the file at each signal from hangups.
func newSettingsWatcher(log logrus.FieldLogger, hangups <-chan os.Signal) *settingsWatcher {
	w := &settingsWatcher{log: log, path: os.Getenv(platform.SettingsVariable), hangups: hangups}
	w.lastContent, _ = os.ReadFile(w.path) // start has just read the file; if this read fails, the next check reports why
	return w
}

// run calls apply with the new settings whenever the file has changed. An unreadable or invalid
// file leaves the old settings in force.
func (w *settingsWatcher) run(ctx context.Context, apply func(*platform.Settings)) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.hangups:
			w.log.Info("reloading settings on SIGHUP")
		case <-ticker.C:
		}
		if s := w.reloadIfChanged(); s != nil {
			w.log.WithField("seeds", s.Seeds).Info("settings changed: new seeds applied, other changes take effect at the next start")
			apply(s)
		}
	}
}

// reloadIfChanged returns the settings if the file has changed and is valid, or nil.
func (w *settingsWatcher) reloadIfChanged() *platform.Settings {
	raw, err := os.ReadFile(w.path)
	if err != nil {
		w.log.WithError(err).Error("failed to read the settings file; the old settings stay in force")
		return nil
	}
	if bytes.Equal(raw, w.lastContent) {
		return nil
	}
	w.lastContent = raw
	s, err := platform.DecodeSettings(raw)
	if err != nil {
		w.log.WithError(err).Error("invalid settings file; the old settings stay in force")
		return nil
	}
	return s
}
