// Package shares divides the capacity of the fleet fairly between workspaces. A Meter at each entry instance measures what the
// workspaces ask for and are served. An Aggregator at the control leader adds up the measurements and computes the standing of each
// workspace, and a Holder at each entry instance keeps the standings for the admission of requests.
//
// It addresses the load of one workspace that sends a multiple of its usual traffic through all entry instances: each instance sees
// so few of its requests that only the sum over all instances shows the size of the workspace.
package shares

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("shares")

const (
	// StandingsTTL is how long standings are valid, counted from when the heartbeat that requested them was sent. It covers the
	// election of a leader (up to 3 s), its first round of heartbeats and the second round, which brings new standings.
	StandingsTTL = 5500 * time.Millisecond
	// reportTTL is how long a report counts at the leader: three heartbeats and a margin.
	reportTTL = 3500 * time.Millisecond
	// memberTTL is how long a silent instance counts as one that may still serve requests. By default an instance refuses requests
	// when it has had no contact with the control group for 6 s.
	memberTTL = 6 * time.Second
	// gatherTime is how long a new leader that knows no members waits for their heartbeats: one round, the search for the new leader
	// and a margin.
	gatherTime = 2500 * time.Millisecond
	// requiredPercent is the part of the members, in percent, that must have a current report before standings are sent. With less,
	// the leader may see one side of a partition only.
	requiredPercent = 90
)

// Instance combines the components of an entry instance.
type Instance struct {
	*Meter
	*Holder
}

// NewInstance returns the components of an entry instance, with the meter disabled. The registerer may be nil.
func NewInstance(registerer prometheus.Registerer) (*Instance, error) {
	m, err := newInstanceMetrics(registerer)
	if err != nil {
		return nil, err
	}
	return &Instance{Meter: &Meter{metrics: m, use: map[string]*meteredUse{}}, Holder: &Holder{metrics: m}}, nil
}

// instanceMetrics holds the metrics of an entry instance.
type instanceMetrics struct {
	reported, standings, expires prometheus.Gauge
}

func newInstanceMetrics(registerer prometheus.Registerer) (*instanceMetrics, error) {
	m := &instanceMetrics{
		reported:  newGauge("reported_workspaces", "Workspaces in the last report of their use to the control leader."),
		standings: newGauge("standings", "Workspaces in the last standings that the control leader sent."),
		expires:   newGauge("standings_expire_timestamp_seconds", "Unix time at which the last standings expire; 0 before the first ones."),
	}
	return m, register(registerer, m.reported, m.standings, m.expires)
}

// leaderMetrics holds the metrics of a control replica. They are current on the leader only.
type leaderMetrics struct {
	reporting, expected, above prometheus.Gauge
	invalid                    prometheus.Counter
}

func newLeaderMetrics(registerer prometheus.Registerer) (*leaderMetrics, error) {
	m := &leaderMetrics{
		reporting: newGauge("reporting_instances", "Entry instances with a current report of their use, at the control leader."),
		expected:  newGauge("expected_instances", "Entry instances that may serve requests, at the control leader."),
		above:     newGauge("workspaces_above_share", "Workspaces that ask for more than their fair share, at the control leader."),
		invalid: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: "clementinetray", Subsystem: "shares", Name: "invalid_amounts_total",
			Help: "Entries in reports of use that were dropped because an amount was negative, infinite or no number.",
		}),
	}
	return m, register(registerer, m.reporting, m.expected, m.above, m.invalid)
}

func newGauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: "clementinetray", Subsystem: "shares", Name: name, Help: help})
}

func register(registerer prometheus.Registerer, collectors ...prometheus.Collector) error {
	if registerer == nil {
		return nil
	}
	for _, c := range collectors {
		if err := registerer.Register(c); err != nil {
			return Error.Wrap(err)
		}
	}
	return nil
}
