package relay

import (
	"context"
	"errors"
	"os"
	"syscall"

	"github.com/prometheus/client_golang/prometheus"
)

const metricNamespace, metricSubsystem = "clementinetray", "relay"

// dialMetrics are the metrics of a Dialer.
type dialMetrics struct{ dials *prometheus.CounterVec }

func newDialMetrics(r prometheus.Registerer, d *Dialer) (*dialMetrics, error) {
	m := &dialMetrics{dials: prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: metricNamespace, Subsystem: metricSubsystem, Name: "dials_total", Help: "Dials of backend servers by path and outcome.",
	}, []string{"path", "outcome"})}
	gauge := func(name, help string, value func() float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: metricNamespace, Subsystem: metricSubsystem, Name: name, Help: help}, value)
	}
	return m, register(r, m.dials,
		gauge("cut", "1 while this instance takes itself for cut off from all backend servers.", func() float64 {
			if d.Cut() {
				return 1
			}
			return 0
		}),
		gauge("outgoing_connections", "Open connections of this instance through relays.", func() float64 { return float64(d.OpenCount()) }),
	)
}

func register(r prometheus.Registerer, collectors ...prometheus.Collector) error {
	if r == nil {
		return nil
	}
	for _, c := range collectors {
		if err := r.Register(c); err != nil {
			return Error.Wrap(err)
		}
	}
	return nil
}

func (m *dialMetrics) count(path string, err error) {
	m.dials.WithLabelValues(path, outcome(err)).Inc()
}

// outcome names the result of a dial for metrics.
func outcome(err error) string {
	switch {
	case err == nil:
		return "connected"
	case errors.Is(err, syscall.ECONNREFUSED):
		return "refused"
	case errors.Is(err, context.Canceled):
		return "cancelled"
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, syscall.ETIMEDOUT):
		return "no_answer"
	}
	return "failed"
}

// serverMetrics are the metrics of a Server.
type serverMetrics struct {
	requests *prometheus.CounterVec
	bytes    *prometheus.CounterVec
}

func newServerMetrics(r prometheus.Registerer, s *Server) (*serverMetrics, error) {
	m := &serverMetrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: metricNamespace, Subsystem: metricSubsystem, Name: "requests_total", Help: "Connections that other instances asked for, by reply.",
		}, []string{"reply"}),
		bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: metricNamespace, Subsystem: metricSubsystem, Name: "bytes_total", Help: "Bytes that were forwarded, by direction.",
		}, []string{"direction"}),
	}
	return m, register(r, m.requests, m.bytes, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: metricNamespace, Subsystem: metricSubsystem, Name: "forwarded_connections", Help: "Open connections that are forwarded for other instances.",
	}, func() float64 { return float64(s.OpenCount()) }))
}

// String returns the reply's name in metrics.
func (s status) String() string {
	switch s {
	case statusConnected:
		return "connected"
	case statusRefused:
		return "refused"
	case statusNoAnswer:
		return "no_answer"
	case statusCut:
		return "cut"
	case statusNoCapacity:
		return "no_capacity"
	case statusUnknownServer:
		return "unknown_server"
	}
	return "other"
}
