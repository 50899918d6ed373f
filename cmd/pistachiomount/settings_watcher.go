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

// settingsWatch notices changes of the settings file, which SIGHUP may announce.
type settingsWatch struct {
	log     logrus.FieldLogger
	path    string
	changed chan os.Signal
	last    []byte
}

// watchSettings returns a watch. From here on SIGHUP does not end the process.
func watchSettings(log logrus.FieldLogger) *settingsWatch {
	w := &settingsWatch{log: log, path: os.Getenv(platform.SettingsVariable), changed: make(chan os.Signal, 1)}
	signal.Notify(w.changed, syscall.SIGHUP)
	w.last, _ = os.ReadFile(w.path) // it was read a moment ago; if not, the next check reports why
	return w
}

// run calls apply with the settings whenever their file has changed. A file that
// cannot be used leaves the old settings in force.
func (w *settingsWatch) run(ctx context.Context, apply func(*platform.Settings)) {
	ticker := time.NewTicker(settingsCheck)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.changed:
			w.log.Info("settings are read again on SIGHUP")
		case <-ticker.C:
		}
		if s := w.changedSettings(); s != nil {
			w.log.WithField("seeds", s.Seeds).Info("settings changed: seeds are in force, the rest at the next start")
			apply(s)
		}
	}
}

// changedSettings returns the settings if their file has changed and can be used.
func (w *settingsWatch) changedSettings() *platform.Settings {
	raw, err := os.ReadFile(w.path)
	if err != nil {
		w.log.WithError(err).Error("settings file not read; the old settings stay in force")
		return nil
	}
	if bytes.Equal(raw, w.last) {
		return nil
	}
	w.last = raw
	s, err := platform.DecodeSettings(raw)
	if err != nil {
		w.log.WithError(err).Error("settings file not usable; the old settings stay in force")
		return nil
	}
	return s
}
