package entry

import (
	"log/slog"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/zeebo/errs"

	"clementinetray/api/catalogue"
	"clementinetray/api/control"
	"clementinetray/api/event"
	"clementinetray/server/blackboard"
	"clementinetray/server/retry"
)

// ErrConfig is returned by New for a Config that lacks a required part.
var ErrConfig = errs.Class("entry configuration")

// Config holds the parts that a Handler works with. Zero durations and sizes stand for the defaults named below.
type Config struct {
	// Instance is the instance id, which becomes part of request ids; Boot is new for each start of the process.
	Instance         string
	Boot             string
	AvailabilityZone string
	Region           string

	Board      *blackboard.Board
	Control    control.Client
	Router     Router
	Limits     Limits
	Budget     RetryBudget
	Recorder   event.Recorder
	Registerer prometheus.Registerer
	Log        *slog.Logger

	// RatingURL is the root URL of the rating service; without it nothing is rated and no cascade goes on.
	RatingURL string
	// RatingSample is the share of class answers, 0 to 1, that is rated after the caller has its answer. Default 0.05.
	RatingSample float64
	// OnRating receives each score; ok is false when the rating service failed. It may be nil.
	OnRating func(class string, version catalogue.VersionRef, score float64, ok bool)

	// MaxViewAge is the age of the view above which new requests are refused. Default 6 s.
	MaxViewAge time.Duration
	// MaxBody is the largest request body in bytes. Default 4 MiB.
	MaxBody int64
	// MaxAnswer is the largest unstreamed answer in bytes. Default 16 MiB.
	MaxAnswer int64
	// RequestLimit is the longest time that a request may take, also without a deadline. Default 10 min.
	RequestLimit time.Duration
	// FullLoad is the load of a backend server in service, as a multiple of its capacity, from which on requests wait in this
	// instance instead of in the backend server's queue. Default 2.
	FullLoad float64
	// MaxWait is the longest time that a request waits for a free backend server. Default 2 s.
	MaxWait time.Duration
	// RetryWait is the longest time that a request which has run already waits for another backend server: a new control
	// leader is elected within 3 s and grants slots 3 s later. Default 15 s.
	RetryWait time.Duration
	// SessionWait is how long a request without a deadline waits while the pool of its session's version is empty. Default 10 s.
	SessionWait time.Duration
	// MaxWaiting is the number of requests that may wait at once. Default 256.
	MaxWaiting int
	// MaxAttempts is the largest number of attempts of one request on one version. Default 4.
	MaxAttempts int
	// SessionCache is the number of session pins kept. Default 20,000.
	SessionCache int
	// BillWait is how long an answer waits for its bill to be durable. Default 2 s.
	BillWait time.Duration
	// MaxQueuedBills is the number of bills that may wait for control before new requests are refused. Default 10,000.
	MaxQueuedBills int
	// AnswerRetention is how long the events of an ended stream are kept for Last-Event-ID. Default 60 s.
	AnswerRetention time.Duration
	// AnswerMemory bounds the kept events of all streams in bytes. Default 64 MiB.
	AnswerMemory int64
	// ResumeGrace is how long a stream goes on without a caller, so that the caller may reconnect. Default 5 s.
	ResumeGrace time.Duration
	// CallerReadTimeout is how long a caller may take to send its body. Default 30 s.
	CallerReadTimeout time.Duration
	// CallerWriteTimeout is how long one write to a caller may block. Default 30 s.
	CallerWriteTimeout time.Duration
	// Dialect reads and writes the headers of routed requests. Default: the product's own.
	Dialect Dialect
	// RoutedRetryPart is the share of the routed requests of a service within 10 s that may be sent once more, and
	// RoutedRetryFree the number of retries within 10 s beside that, over all entry instances. Defaults 0.1 and 3.
	RoutedRetryPart float64
	RoutedRetryFree float64
	// SureConfidence is the confidence, 0 to 100, from which on the answer of a smaller model is delivered. Default 60.
	SureConfidence int
	// ServeLeaving is how long routed requests are still served after Drain began: the load balancer sends new ones until it
	// has noticed. Default 0.
	ServeLeaving time.Duration
	// ServeLeavingStreams is the same for streams, which must end before the process does. Default 0.
	ServeLeavingStreams time.Duration
	// ControlTimeout bounds each write to the control group. Default 3 s, the bound on time without a leader.
	ControlTimeout time.Duration
}

func (c *Config) check() error {
	switch {
	case c.Instance == "" || c.Boot == "":
		return ErrConfig.New("Instance and Boot are required")
	case c.Board == nil:
		return ErrConfig.New("Board is required")
	case c.Control == nil:
		return ErrConfig.New("Control is required")
	case c.Router == nil:
		return ErrConfig.New("Router is required")
	case c.Limits == nil || c.Budget == nil:
		return ErrConfig.New("Limits and Budget are required")
	}
	return nil
}

func (c *Config) setDefaults() {
	defaultTo(&c.RatingSample, 0.05)
	defaultTo(&c.MaxViewAge, 6*time.Second)
	defaultTo(&c.MaxBody, 4<<20)
	defaultTo(&c.MaxAnswer, 16<<20)
	defaultTo(&c.RequestLimit, 10*time.Minute)
	defaultTo(&c.FullLoad, 2)
	defaultTo(&c.MaxWait, 2*time.Second)
	defaultTo(&c.RetryWait, 15*time.Second)
	defaultTo(&c.SessionWait, 10*time.Second)
	defaultTo(&c.MaxWaiting, 256)
	defaultTo(&c.MaxAttempts, 4)
	defaultTo(&c.SessionCache, 20_000)
	defaultTo(&c.BillWait, 2*time.Second)
	defaultTo(&c.MaxQueuedBills, 10_000)
	defaultTo(&c.AnswerRetention, time.Minute)
	defaultTo(&c.AnswerMemory, 64<<20)
	defaultTo(&c.ResumeGrace, 5*time.Second)
	defaultTo(&c.CallerReadTimeout, 30*time.Second)
	defaultTo(&c.CallerWriteTimeout, 30*time.Second)
	defaultTo(&c.ControlTimeout, 3*time.Second)
	defaultTo(&c.RoutedRetryPart, retry.Part)
	defaultTo(&c.RoutedRetryFree, retry.Free)
	defaultTo(&c.SureConfidence, 60)
	if c.Dialect == nil {
		c.Dialect = NativeDialect()
	}
	if c.Recorder == nil {
		c.Recorder = noRecorder{}
	}
	if c.Registerer == nil {
		c.Registerer = prometheus.NewRegistry()
	}
	if c.Log == nil {
		c.Log = slog.New(slog.DiscardHandler)
	}
}

func defaultTo[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

type noRecorder struct{}

func (noRecorder) Record(event.Event) {}
