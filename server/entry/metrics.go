package entry

import (
	"github.com/prometheus/client_golang/prometheus"
)

// metrics holds the metrics of an entry instance. Their label values come from fixed sets (reasons, kinds and results) and
// are never ids or names of callers, so that the number of time series stays bounded.
type metrics struct {
	requests          *prometheus.CounterVec
	refusals          *prometheus.CounterVec
	attempts          *prometheus.CounterVec
	droppedAnswers    *prometheus.CounterVec
	bills             *prometheus.CounterVec
	ratings           *prometheus.CounterVec
	retries           prometheus.Counter
	continuedStreams  prometheus.Counter
	crashes           prometheus.Counter
	suspectedRestarts *prometheus.CounterVec
	serverStatements  *prometheus.CounterVec
	lateBills         prometheus.Counter
	panics            prometheus.Counter
	queuedBills       prometheus.Gauge
	openRequests      prometheus.Gauge
	waitingRequests   prometheus.Gauge
	admissions        *prometheus.CounterVec
	largerModels      *prometheus.CounterVec
	answerBufferBytes prometheus.Gauge
	refusedBodies     prometheus.Counter
	firstTokenSeconds prometheus.Histogram
}

const metricNamespace = "clementinetray"

func newMetrics(r prometheus.Registerer) (*metrics, error) {
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Namespace: metricNamespace, Subsystem: "entry", Name: name, Help: help})
	}
	vector := func(name, help, label string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: metricNamespace, Subsystem: "entry", Name: name, Help: help}, []string{label})
	}
	gauge := func(name, help string) prometheus.Gauge {
		return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: metricNamespace, Subsystem: "entry", Name: name, Help: help})
	}
	m := &metrics{
		requests:          vector("requests_total", "Requests by kind.", "kind"),
		refusals:          vector("refusals_total", "Refusals by reason.", "reason"),
		attempts:          vector("attempts_total", "Attempts on backend servers by result.", "result"),
		droppedAnswers:    vector("dropped_answers_total", "Answers that did not belong to the attempt or were none, by kind.", "kind"),
		bills:             vector("bills_total", "Bills sent to the control group by result.", "result"),
		ratings:           vector("ratings_total", "Calls of the rating service by result.", "result"),
		retries:           counter("retries_total", "Attempts after the first one of a request."),
		continuedStreams:  counter("continued_streams_total", "Broken streams that went on from another backend server."),
		crashes:           counter("crash_reports_total", "Crashes of backend servers reported to the control group."),
		suspectedRestarts: vector("suspected_restarts_total", "Starts of backend servers that refused a connection of this instance, or of another one that reported it first, or left it without an answer.", "source"),
		serverStatements:  vector("server_statements_total", "Answers in which a backend server said that it leaves, is brittle or asked to be spared.", "kind"),
		lateBills:         counter("late_bills_total", "Answers that ended before their bill was durable."),
		panics:            counter("panics_total", "Requests that ended with a panic."),
		queuedBills:       gauge("queued_bills", "Bills that are not durable yet."),
		openRequests:      gauge("open_requests", "Requests that have not ended."),
		waitingRequests:   gauge("waiting_requests", "Requests that wait for a backend server."),
		answerBufferBytes: gauge("answer_buffer_bytes", "Bytes of stream events kept for callers that reconnect."),
		refusedBodies:     counter("refused_bodies_total", "Bodies for which there was no memory, counted before the rest of the body is read and the refusal is sent."),
		admissions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: metricNamespace, Subsystem: "entry", Name: "admissions_total", Help: "Decisions of overload control by decision and reason.",
		}, []string{"decision", "reason"}),
		largerModels: vector("larger_models_total", "Answers of low confidence by what was decided: whether a larger model answers, and if not, why.", "outcome"),
		firstTokenSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: metricNamespace, Subsystem: "entry", Name: "first_token_seconds", Help: "Time from the request to the first event of the answer.",
			Buckets: []float64{.01, .025, .05, .1, .25, .5, 1, 2, 5, 10, 30},
		}),
	}
	for _, c := range []prometheus.Collector{
		m.requests, m.refusals, m.attempts, m.droppedAnswers, m.bills, m.ratings, m.retries, m.continuedStreams, m.crashes, m.serverStatements, m.lateBills,
		m.panics, m.queuedBills, m.openRequests, m.waitingRequests, m.admissions, m.largerModels, m.answerBufferBytes, m.refusedBodies, m.firstTokenSeconds,
	} {
		if err := r.Register(c); err != nil {
			return nil, Error.Wrap(err)
		}
	}
	return m, nil
}

func (m *metrics) addWaiting(change int) { m.waitingRequests.Add(float64(change)) }

// newBodyGauge returns a gauge of the memory that the bodies of requests take.
func newBodyGauge(bodies *byteBudget) prometheus.Collector {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: metricNamespace, Subsystem: "entry", Name: "request_body_bytes", Help: "Memory that buffered bodies of requests take, in bytes.",
	}, func() float64 { return float64(bodies.used.Load()) })
}
