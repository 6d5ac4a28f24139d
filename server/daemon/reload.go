package daemon

import (
	"context"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"time"

	"clementinetray/server/settings"
)

// reloadInterval is how often the settings file is read again, as it may change without a signal.
const reloadInterval = 2 * time.Second

// watchSettings takes new seeds from the settings file when SIGHUP comes or the file has changed. Other settings hold until
// the next start.
func (d *daemon) watchSettings(ctx context.Context) {
	hangUp := make(chan os.Signal, 1)
	signal.Notify(hangUp, syscall.SIGHUP)
	defer signal.Stop(hangUp)
	seeds := d.Settings.ReplicaAddresses()
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-hangUp:
			signalled = true
		case <-time.After(reloadInterval):
		}
		next, err := settings.Load(d.Settings.File)
		if err != nil {
			d.Logger.Error("settings_not_reloaded", "file", d.Settings.File, "error", err)
			continue
		}
		if changed := next.ReplicaAddresses(); !slices.Equal(changed, seeds) {
			seeds = changed
			d.Client.SetSeeds(seeds)
			d.Logger.Info("settings_reloaded", "seeds", seeds, "signalled", signalled)
		} else if signalled {
			d.Logger.Info("settings_unchanged")
		}
	}
}
