package entry

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"clementinetray/server/balance"
)

const (
	// rateLogInterval is the time between two log lines with the learned rates of a service's backend servers.
	rateLogInterval = time.Minute
	// maxLoggedRates is the number of backend servers that such a line names. A name and its rates take about 30 bytes.
	maxLoggedRates = 64
)

// rateCollector exports the learned rates of backend servers. It is the only collector whose labels are ids of backend servers;
// their number is bounded by the fleet table.
type rateCollector struct {
	tracker                           *balance.Tracker
	tokens, relative, occupancy, work *prometheus.Desc
}

func newRateCollector(tracker *balance.Tracker) *rateCollector {
	desc := func(name, help string) *prometheus.Desc {
		return prometheus.NewDesc(prometheus.BuildFQName(metricNamespace, "entry", name), help, []string{"service", "backend_server"}, nil)
	}
	return &rateCollector{
		tracker:   tracker,
		tokens:    desc("server_tokens_per_millisecond", "Prompt tokens of the slowest model that a backend server reads per millisecond at its usual speed, as learned."),
		relative:  desc("server_relative_time", "Time to the first event relative to the service's other backend servers, as learned."),
		occupancy: desc("server_slot_seconds", "Time for which a request occupies a slot, as learned."),
		work:      desc("server_work_percent", "Work percentage that the backend server reported last."),
	}
}

// Describe implements prometheus.Collector.
func (c *rateCollector) Describe(out chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{c.tokens, c.relative, c.occupancy, c.work} {
		out <- d
	}
}

// Collect implements prometheus.Collector.
func (c *rateCollector) Collect(out chan<- prometheus.Metric) {
	for _, pool := range c.tracker.Rates(time.Now()) {
		for _, s := range pool.Servers {
			gauge := func(d *prometheus.Desc, value float64) {
				out <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, value, pool.Pool, s.ID)
			}
			if s.TokensPerMillisecond > 0 {
				gauge(c.tokens, s.TokensPerMillisecond)
			}
			gauge(c.relative, s.RelativeTime)
			if s.Occupancy > 0 {
				gauge(c.occupancy, s.Occupancy.Seconds())
			}
			if s.WorkPercent > 0 {
				gauge(c.work, float64(s.WorkPercent))
			}
		}
	}
}

// logRates logs the learned rates of each service from time to time until ctx ends.
func (h *Handler) logRates(ctx context.Context) {
	ticker := time.NewTicker(rateLogInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, pool := range h.balance.Rates(time.Now()) {
			h.cfg.Log.Info("server_rates", "service", pool.Pool, "backend_servers", len(pool.Servers), "slowest_first", formatRates(pool.Servers))
		}
	}
}

// formatRates returns ID:TOKENS_PER_MS:RELATIVE_TIME of the first maxLoggedRates backend servers, separated by commas.
func formatRates(servers []balance.ServerRate) string {
	var out strings.Builder
	for i, s := range servers[:min(len(servers), maxLoggedRates)] {
		if i > 0 {
			out.WriteByte(',')
		}
		fmt.Fprintf(&out, "%s:%.1f:%.2f", s.ID, s.TokensPerMillisecond, s.RelativeTime)
	}
	return out.String()
}
