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

// reloadInterval is the interval at which the settings file is read again, as it may change without a signal.
const reloadInterval = 2 * time.Second

// reloadSettings reads the settings file again on SIGHUP and every reloadInterval, and applies changed addresses of the
// control replicas. Changes of other settings take effect at the next start.
func (d *daemon) reloadSettings(ctx context.Context) {
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
		reloaded, err := settings.Load(d.Settings.File)
		if err != nil {
			d.Logger.Error("settings_not_reloaded", "file", d.Settings.File, "error", err)
			continue
		}
		if addresses := reloaded.ReplicaAddresses(); !slices.Equal(addresses, seeds) {
			seeds = addresses
			d.Client.SetSeeds(seeds)
			d.Logger.Info("settings_reloaded", "seeds", seeds, "signalled", signalled)
		} else if signalled {
			d.Logger.Info("settings_unchanged")
		}
	}
}
