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
	"clementinetray/server/jsonbound"
	"clementinetray/server/relay"
	"clementinetray/server/retry"
)

// ErrConfig is returned by New for a Config that lacks a required part.
var ErrConfig = errs.Class("entry configuration")

// Config holds the dependencies and settings of a Handler. Zero values of settings stand for the defaults named below.
type Config struct {
	// Instance is the instance id, which becomes part of request ids; Boot is new for each start of the process.
	Instance         string
	Boot             string
	AvailabilityZone string
	Region           string

	Board   *blackboard.Board
	Control control.Client
	Router  Router
	Limits  Limits
	Budget  RetryBudget
	// Meter measures the use of workspaces. nil measures nothing.
	Meter      WorkspaceMeter
	Recorder   event.Recorder
	Registerer prometheus.Registerer
	Log        *slog.Logger

	// RatingURL is the root URL of the rating service. If empty, no answer is rated, and cascades stop at their first model.
	RatingURL string
	// RatingSample is the share, 0 to 1, of the answers of classes that is rated after they were delivered. Default 0.05.
	RatingSample float64
	// OnRating is called with each score; ok is false when the rating service failed. It may be nil.
	OnRating func(class string, version catalogue.VersionRef, score float64, ok bool)

	// MaxViewAge is the age of the control view above which new requests are refused. Default 6 s.
	MaxViewAge time.Duration
	// MaxBody is the largest request body in bytes. Default 4 MiB.
	MaxBody int64
	// MaxAnswer is the largest unstreamed answer in bytes. Default 16 MiB.
	MaxAnswer int64
	// AnswerBuffer bounds the memory that the answers of backend servers take while they are buffered, all together, in bytes.
	// Default 64 MiB.
	AnswerBuffer int64
	// RequestBuffer bounds the memory that the bodies of open requests take, all together, in bytes. Default 64 MiB.
	RequestBuffer int64
	// RequestLimit is the longest time that a request may take, with or without a deadline. Default 10 min.
	RequestLimit time.Duration
	// FullLoad is the load of a backend server in service, as a multiple of its capacity, from which requests wait in this
	// instance instead of in the backend server's queue. Default 2.
	FullLoad float64
	// MaxWait is the longest time that a request waits for a free backend server. Default 2 s.
	MaxWait time.Duration
	// RetryWait is the longest time that a request waits for another backend server after a failed attempt: a new control
	// leader is elected within 3 s and grants slots 3 s later. Default 15 s.
	RetryWait time.Duration
	// SessionWait is how long a request without a deadline waits while the model version that its session is pinned to has no
	// backend server. Default 10 s.
	SessionWait time.Duration
	// MaxWaiting is the number of requests that may wait at once. Default 256.
	MaxWaiting int
	// MaxAttempts is the largest number of attempts of one request on one model version. Default 4.
	MaxAttempts int
	// SessionCache is the largest number of cached session pins. Default 20,000.
	SessionCache int
	// BillWait is the longest time that an answer is held back until its bill is durable. Default 2 s.
	BillWait time.Duration
	// MaxQueuedBills is the number of bills not yet recorded by the control group above which new requests are refused. Default
	// 10,000.
	MaxQueuedBills int
	// AnswerRetention is how long the events of an ended stream are kept for callers that resume it with Last-Event-ID. Default
	// 60 s.
	AnswerRetention time.Duration
	// AnswerMemory bounds the size in bytes of the kept events of all streams. Default 64 MiB.
	AnswerMemory int64
	// ResumeGrace is how long a stream keeps running after its caller disconnected, so that the caller can resume it. Default 5 s.
	ResumeGrace time.Duration
	// JSONLimits bound the decoded form of a chat request. Default unlimited.
	JSONLimits jsonbound.Limits
	// CallerReadTimeout is how long a caller may take to send the request body. Default 30 s.
	CallerReadTimeout time.Duration
	// CallerWriteTimeout is how long one write to a caller may block. Default 30 s.
	CallerWriteTimeout time.Duration
	// Dialect reads and writes the headers of routed requests. Default NativeDialect.
	Dialect Dialect
	// RoutedRetryRatio is the share of a service's routed requests within 10 s that may be retried. Default 0.1.
	RoutedRetryRatio float64
	// RoutedRetrySlack is the number of retries within 10 s allowed on top of that share, by all entry instances together.
	// Default 3.
	RoutedRetrySlack float64
	// SureConfidence is the confidence, 0 to 100, from which the answer of a smaller model is always delivered. Default 60.
	SureConfidence int
	// DrainDelay is how long new routed requests are accepted after Drain was called, as the load balancer sends new requests
	// until its next health check fails. Default 0.
	DrainDelay time.Duration
	// StreamDrainDelay is how long new routed streams are accepted after Drain was called; they have to end before the process
	// stops. Default 0.
	StreamDrainDelay time.Duration
	// OverloadControl applies overload control to all routed requests (package admission). Without it, it applies to the pools whose
	// backend servers report how long work takes on their machines. Default false.
	OverloadControl bool
	// TimedPlacement selects backend servers by expected times instead of loads, in pools with learned rates.
	TimedPlacement bool
	// Standings holds the fleet-wide standing of each workspace. If nil, every standing is unknown and counts as 1.
	Standings Standings
	// DialDirect opens a connection to a backend server within a timeout. Default: TCP. Tests use it to
	// inject network faults.
	DialDirect relay.DialFunc
	// PeerSecret authenticates connections to the relays of other entry instances.
	PeerSecret []byte
	// ControlTimeout bounds each call to the control group. Default 3 s, the longest time without a leader.
	ControlTimeout time.Duration
}

// Standings returns the fleet-wide use of a workspace divided by its fair share.
type Standings interface {
	Standing(workspace string, now time.Time) (ratio float64, known bool)
}

func (c *Config) validate() error {
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
	setIfZero(&c.RatingSample, 0.05)
	setIfZero(&c.MaxViewAge, 6*time.Second)
	setIfZero(&c.MaxBody, 4<<20)
	setIfZero(&c.MaxAnswer, 16<<20)
	setIfZero(&c.AnswerBuffer, 64<<20)
	setIfZero(&c.RequestBuffer, 64<<20)
	setIfZero(&c.RequestLimit, 10*time.Minute)
	setIfZero(&c.FullLoad, 2)
	setIfZero(&c.MaxWait, 2*time.Second)
	setIfZero(&c.RetryWait, 15*time.Second)
	setIfZero(&c.SessionWait, 10*time.Second)
	setIfZero(&c.MaxWaiting, 256)
	setIfZero(&c.MaxAttempts, 4)
	setIfZero(&c.SessionCache, 20_000)
	setIfZero(&c.BillWait, 2*time.Second)
	setIfZero(&c.MaxQueuedBills, 10_000)
	setIfZero(&c.AnswerRetention, time.Minute)
	setIfZero(&c.AnswerMemory, 64<<20)
	setIfZero(&c.ResumeGrace, 5*time.Second)
	setIfZero(&c.CallerReadTimeout, 30*time.Second)
	setIfZero(&c.CallerWriteTimeout, 30*time.Second)
	setIfZero(&c.ControlTimeout, 3*time.Second)
	setIfZero(&c.RoutedRetryRatio, retry.DefaultRatio)
	setIfZero(&c.RoutedRetrySlack, retry.DefaultFreeRetries)
	setIfZero(&c.SureConfidence, 60)
	if c.DialDirect == nil {
		c.DialDirect = dialTCP
	}
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

func setIfZero[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

type noRecorder struct{}

func (noRecorder) Record(event.Event) {}
