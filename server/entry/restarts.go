package entry

import (
	"errors"
	"sync"
	"syscall"
	"time"

	"clementinetray/api/control"
	"clementinetray/server/blackboard"
	"clementinetray/server/relay"
	"clementinetray/server/restarts"
)

// restartWatch connects the record of backend servers that may have started again with the handler's logs, metrics and messages.
type restartWatch struct {
	*restarts.Watch
	mu sync.Mutex // guards send
	// send sends refusals to the other entry instances; nil if there is no way to them.
	send func([]restarts.Report)
	// boots holds the boot of each row of the last fleet table. Only watchFleet uses it.
	boots map[string]string
}

func newRestartWatch() *restartWatch {
	return &restartWatch{Watch: restarts.New(), boots: map[string]string{}}
}

// SetRefusalSender sets the function that tells the other entry instances which backend servers refused connections. It must not block.
func (h *Handler) SetRefusalSender(send func([]restarts.Report)) {
	h.restarts.mu.Lock()
	defer h.restarts.mu.Unlock()
	h.restarts.send = send
}

// ReceiveRefusals records backend servers that refused connections of another entry instance. sender is the hash of that instance's
// boot id.
func (h *Handler) ReceiveRefusals(sender uint64, reports []restarts.Report) {
	now := time.Now()
	for _, r := range reports {
		if h.restarts.Reported(now, sender, r) {
			h.metrics.suspectedRestarts.WithLabelValues("reported").Inc()
			h.cfg.Log.Debug("restart_reported", "sender", sender, "server_hash", r.Server, "boot_hash", r.Boot, "confirmed", r.Confirmed)
		}
	}
}

// recordSilence records that a backend server answered neither this instance nor a relay whose paths work: its machine may be starting
// again. Data on a connection from before show that it was only silent.
func (h *Handler) recordSilence(server string) {
	if row := h.cfg.Board.Fleet.Load().Servers[server]; row != nil {
		h.suspectRestart(row, row.Boot, "unanswered", true)
	}
}

// recordRefusal records that a connection to a backend server was refused now, if err says so. An earlier refusal was recorded then, for
// the start that refused.
func (h *Handler) recordRefusal(server *control.BackendServer, err error) {
	if !errors.Is(err, syscall.ECONNREFUSED) || relay.IsOld(err) {
		return
	}
	boot := server.Boot
	// The attempt may have run on a later start than that of the row on which it was sent.
	if row := h.cfg.Board.Fleet.Load().Servers[server.ID]; row != nil {
		boot = row.Boot
	}
	h.suspectRestart(server, boot, "refused", relay.ConfirmedByRelay(err))
}

func (h *Handler) suspectRestart(server *control.BackendServer, boot, cause string, confirmed bool) {
	first, reportAt := h.restarts.Refused(time.Now(), server.ID, boot, confirmed)
	if first {
		h.metrics.suspectedRestarts.WithLabelValues(cause).Inc()
		h.cfg.Log.Info("restart_suspected", "backend_server", server.ID, "boot", boot, "address", server.Address, "cause", cause)
	}
	if !reportAt.IsZero() {
		time.AfterFunc(time.Until(reportAt), h.sendRefusals)
	}
}

func (h *Handler) sendRefusals() {
	h.restarts.mu.Lock()
	send := h.restarts.send
	h.restarts.mu.Unlock()
	if reports := h.restarts.TakeReports(time.Now()); len(reports) > 0 && send != nil {
		send(reports)
	}
}

// minReadWait tells an event that has just arrived from one that had been read into a buffer before: reading that takes less.
const minReadWait = time.Millisecond

// recordDelivery records that data of the attempt's answer arrived. isNew is true if they can't have been read into a buffer before.
func (x *exchange) recordDelivery(isNew bool) {
	x.running.touch()
	if isNew && x.h.restarts.Delivered(time.Now(), x.began, x.running.connectedAt(), x.server.ID, x.server.Boot) {
		x.h.cfg.Log.Info("restart_refuted", "backend_server", x.server.ID, "boot", x.server.Boot, "request", x.rq.id)
	}
}

// latest returns the later one of two times.
func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// logStarts logs the backend servers of which the fleet table shows another start than before, with how long ago this instance knew the
// end of the one before, and removes old refusals.
func (h *Handler) logStarts(fleet *blackboard.Fleet, now time.Time) {
	for id, row := range fleet.Servers {
		last, known := h.restarts.boots[id]
		h.restarts.boots[id] = row.Boot
		if !known || last == row.Boot {
			continue
		}
		ended := h.restarts.EndedAt(id, last)
		since := time.Duration(0)
		if !ended.IsZero() {
			since = now.Sub(ended)
		}
		h.cfg.Log.Info("server_started_again", "backend_server", id, "boot", row.Boot, "last_boot", last, "cold_ms", row.ColdMillis,
			"suspected", !ended.IsZero(), "ended_ago", since)
	}
	for id := range h.restarts.boots {
		if fleet.Servers[id] == nil {
			delete(h.restarts.boots, id)
		}
	}
	h.restarts.RemoveOld(now)
}
