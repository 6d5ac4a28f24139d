package engineorder

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"clementinetray/api/catalogue"
	"clementinetray/api/control"
	"clementinetray/server/blackboard"
)

// cacheExport records that a leaving backend server was ordered to export its KV cache, once for each boot. The export is
// best effort: nothing waits for it, and it isn't repeated if an engine doesn't support it.
type cacheExport struct{ boot string }

// moveCaches orders each leaving server to export the KV cache of its sessions, and another server to import it.
func (c *Controller) moveCaches(ctx context.Context, now time.Time, fleet *blackboard.Fleet) {
	maps.DeleteFunc(c.exports, func(id string, _ *cacheExport) bool { return fleet.Servers[id] == nil })
	for id, b := range fleet.Servers {
		if b.Phase != control.PhaseLeaving {
			delete(c.exports, id)
			continue
		}
		if done := c.exports[id]; done != nil && done.boot == b.Boot || len(b.Versions) == 0 || c.inFlight[id] || len(c.inFlight) >= maxOrders {
			continue
		}
		c.exports[id] = &cacheExport{boot: b.Boot}
		c.inFlight[id] = true
		term := c.term
		c.wg.Go(func() {
			for _, ref := range b.Versions {
				if target := importTarget(fleet, ref, b); target != nil && c.moveCache(ctx, now, term, ref, b, target) != nil {
					break
				}
			}
			c.mu.Lock()
			defer c.mu.Unlock()
			if c.term == term {
				delete(c.inFlight, id)
			}
		})
	}
}

// importTarget returns the least loaded server in service with the version, preferably in the same availability zone. It
// returns nil if no other server in service holds the version.
func importTarget(fleet *blackboard.Fleet, ref catalogue.VersionRef, from *control.BackendServer) *control.BackendServer {
	candidates := slices.DeleteFunc(slices.Clone(fleet.ByVersion[ref]), func(b *control.BackendServer) bool {
		return b.ID == from.ID || b.Phase != control.PhaseInService
	})
	if len(candidates) == 0 {
		return nil
	}
	return slices.MinFunc(candidates, func(a, b *control.BackendServer) int {
		return cmp.Or(
			cmp.Compare(zoneDistance(a, from), zoneDistance(b, from)),
			cmp.Compare(a.Running*b.Capacity, b.Running*a.Capacity),
			cmp.Compare(a.ID, b.ID),
		)
	})
}

func zoneDistance(a, b *control.BackendServer) int {
	if a.AvailabilityZone == b.AvailabilityZone {
		return 0
	}
	return 1
}

func (c *Controller) moveCache(ctx context.Context, now time.Time, term uint64, ref catalogue.VersionRef, from, to *control.BackendServer) error {
	for _, step := range []struct {
		action Action
		server *control.BackendServer
	}{{ActionExportKV, from}, {ActionImportKV, to}} {
		fence, err := c.sendOrder(ctx, now, term, step.server.Address, Order{Action: step.action, Version: ref.String()})
		c.reportOrder(step.server.ID, ref.String(), step.action, "backend server "+from.ID+" leaves", fence, err)
		if err != nil {
			return err
		}
	}
	return nil
}
