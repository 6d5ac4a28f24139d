package controlsvc

import (
	"strings"
	"time"

	"clementinetray/api/catalogue"
	"clementinetray/api/control"
	"clementinetray/server/controlstate"
	"clementinetray/server/limits"
)

// limitSource gives the allocator the limits set in the catalogue and in the fleet table.
type limitSource struct {
	state *controlstate.State
	table FleetTable
	now   func() time.Time
}

var _ limits.Source = (*limitSource)(nil)

// Limit implements limits.Source. It returns false for a key without a limit.
func (s *limitSource) Limit(key string) (float64, bool) {
	view := s.state.View()
	parts := strings.Split(key, "/")
	if len(parts) != 3 {
		return 0, false
	}
	var amount float64
	switch name := parts[1]; key {
	case limits.WorkspaceConcurrencyKey(name):
		if w := view.Catalogue.FindWorkspace(name); w != nil {
			amount = float64(w.MaxConcurrent)
		}
	case limits.WorkspaceRateKey(name):
		if w := view.Catalogue.FindWorkspace(name); w != nil {
			amount = w.RequestsPerSecond
		}
	case limits.VersionConcurrencyKey(name):
		if v := view.Catalogue.FindVersion(parseVersionRef(name)); v != nil {
			amount = float64(v.MaxConcurrent)
		}
	case limits.RolloutExposureKey(name):
		amount = exposureLimit(view, parseVersionRef(name))
	}
	return amount, amount > 0
}

func parseVersionRef(text string) catalogue.VersionRef {
	model, version, _ := strings.Cut(text, "@")
	return catalogue.VersionRef{Model: model, Version: version}
}

// exposureLimit returns the limit of concurrent requests on the new version of a roll-out. It returns 0 if there is no
// limit, or if the roll-out is done or at 100%.
func exposureLimit(view *control.View, ref catalogue.VersionRef) float64 {
	r := view.Catalogue.FindRollout(ref.Model)
	p, ok := view.Rollouts.Progress[ref.Model]
	if r == nil || r.To != ref.Version || ok && (p.State == control.RolloutDone || p.Percent >= 100) {
		return 0
	}
	return float64(r.MaxExposure)
}

// SlotLimit implements limits.Source. It returns limit 0 for a backend server that is not in the table, because a server
// that has not announced itself to a new leader yet may be cold. ok is false if the key needs no slots; this is so for
// warm servers and for boots that have ended.
func (s *limitSource) SlotLimit(key control.SlotKey) (limit, reported int, ok bool) {
	if strings.HasPrefix(string(key), "suspect/") {
		return 1, 0, true
	}
	id, boot, isServer := parseServerKey(key)
	if !isServer {
		return 0, 0, true
	}
	server, known := s.table.Server(s.now(), id)
	switch {
	case !known:
		return 0, 0, true
	case server.Boot != boot || server.Limit == 0:
		return 0, 0, false
	}
	return server.Limit, server.Running, true
}

func parseServerKey(key control.SlotKey) (id, boot string, ok bool) {
	rest, isServer := strings.CutPrefix(string(key), "server/")
	if !isServer {
		return "", "", false
	}
	id, boot, ok = strings.Cut(rest, "/")
	return id, boot, ok
}
