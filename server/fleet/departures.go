package fleet

import (
	"cmp"
	"maps"
	"time"

	"clementinetray/api/control"
	"clementinetray/server/controlstate"
)

// departure is what is kept of a start of a backend server that has no row: its row was removed, or it deregistered before it announced
// itself. Announcements of it, and of earlier starts, may still arrive.
type departure struct {
	started int64
	// boot and sequence are those of the last announcement; empty and 0 if there was none.
	boot         string
	sequence     int64
	deregistered bool
	expiresAt    time.Time
}

// departureOf returns what is kept of a row that is removed.
func departureOf(r *row) departure {
	return departure{
		started: r.server.Started, boot: r.server.Boot, sequence: max(r.server.Sequence, r.minSequence), deregistered: r.server.Deregistered,
	}
}

// departureOfRecord returns what is kept of a recorded start that gets no row.
func departureOfRecord(s controlstate.RecordedServer) departure {
	return departure{started: s.Started, boot: s.Boot, sequence: s.Sequence, deregistered: s.Deregistered}
}

// recordOf returns the record of a departure. It has no address, which tells it from that of a row; earlier builds skip it.
func (d *departure) recordOf(id string) controlstate.RecordedServer {
	return controlstate.RecordedServer{
		Announcement: control.Announcement{ID: id, Boot: d.boot, Started: d.started, Sequence: d.sequence}, Deregistered: d.deregistered,
	}
}

// isOf reports whether the announcement is of the start that left.
func (d *departure) isOf(a *control.Announcement) bool {
	return d.started == a.Started && (a.Started > 0 || d.boot == a.Boot)
}

// isLate reports whether the announcement was sent before the last one of the start that left, or by an earlier start.
func (d *departure) isLate(a *control.Announcement) bool {
	if d.isOf(a) {
		return a.Sequence > 0 && a.Sequence <= d.sequence
	}
	return a.Started > 0 && a.Started < d.started
}

// departures holds the last departure of each backend server for DepartureTTL, by server id.
type departures map[string]departure

// store keeps the departure, unless that of a later start is known.
func (m departures) store(now time.Time, id string, d departure) {
	if old, ok := m.find(now, id); ok {
		if old.started > d.started {
			return
		}
		if old.started == d.started && (d.started > 0 || old.boot == d.boot) {
			d.sequence, d.deregistered = max(d.sequence, old.sequence), d.deregistered || old.deregistered
			d.boot = cmp.Or(d.boot, old.boot)
		}
	}
	if len(m) >= maxDepartures {
		m.makeRoom(now)
	}
	d.expiresAt = now.Add(DepartureTTL)
	m[id] = d
}

// makeRoom drops what has expired, and if that is nothing, what expires first.
func (m departures) makeRoom(now time.Time) {
	m.dropExpired(now)
	if len(m) < maxDepartures {
		return
	}
	first := ""
	for id := range m {
		if first == "" || m[id].expiresAt.Before(m[first].expiresAt) {
			first = id
		}
	}
	delete(m, first)
}

func (m departures) dropExpired(now time.Time) {
	maps.DeleteFunc(m, func(_ string, d departure) bool { return !now.Before(d.expiresAt) })
}

// find returns the departure that is kept of the backend server, and false if there is none.
func (m departures) find(now time.Time, id string) (departure, bool) {
	d, ok := m[id]
	return d, ok && now.Before(d.expiresAt)
}

// deregistration returns the departure of a backend server without a row, if its start deregistered.
func (t *Table) deregistration(now time.Time, id string) (departure, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	d, ok := t.departures.find(now, id)
	return d, ok && d.deregistered && t.rows[id] == nil
}

// departed returns what is kept of the backend servers without a row.
func (t *Table) departed(now time.Time) departures {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeExpired(now)
	t.departures.dropExpired(now)
	departed := departures{}
	for id, d := range t.departures {
		if t.rows[id] == nil {
			departed[id] = d
		}
	}
	return departed
}
