package daemon

import (
	"bytes"
	"log/slog"
	"net"
	"os"
	"runtime/debug"
	"time"

	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"go.uber.org/dig"

	"clementinetray/api/control"
	"clementinetray/api/event"
	"clementinetray/server/blackboard"
	"clementinetray/server/callerconn"
	"clementinetray/server/clock"
	"clementinetray/server/controlclient"
	"clementinetray/server/logging"
	"clementinetray/server/peer"
	"clementinetray/server/settings"
	"clementinetray/server/timeline"
)

const (
	// minSecretBytes is the minimum length of the shared secret.
	minSecretBytes = 16
	dialTimeout    = time.Second
)

// newContainer returns a dependency injection container with the constructors of all roles' components.
func newContainer(s *settings.Settings, adapter Adapter) (*dig.Container, error) {
	c := dig.New()
	constructors := []any{
		func() *settings.Settings { return s },
		func() Adapter { return adapter },
		newLogWriter, newLogger, newIdentity, newSecret, newPeerPool, newPeerServer, clock.NewStalls, newGuard, newTimelineRing, newRegistry, newControlClient, newMember,
		blackboard.New,
		func() *event.Clock { return &event.Clock{} },
		func(ring *timeline.Ring) event.Recorder { return ring },
		func(client *controlclient.Client) control.Client { return client },
	}
	constructors = append(constructors, entryConstructors...)
	constructors = append(constructors, controlConstructors...)
	for _, constructor := range constructors {
		if err := c.Provide(constructor); err != nil {
			return nil, Error.Wrap(err)
		}
	}
	return c, nil
}

func newLogWriter(s *settings.Settings, registerer prometheus.Registerer) *logging.Writer {
	w := logging.NewWriter(os.Stdout, s.LogLinesPerSecond)
	registerer.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "clementinetray_log_lines_dropped_total",
		Help: "Log lines that were over the limit of the settings or that nobody read in time.",
	}, func() float64 { return float64(w.Dropped()) }))
	return w
}

func newLogger(s *settings.Settings, out *logging.Writer) *slog.Logger {
	handler := slog.NewTextHandler(out, &slog.HandlerOptions{Level: s.LogLevel, ReplaceAttr: errorText})
	return slog.New(handler).With("instance", s.InstanceID)
}

// errorText replaces an error by its text, without the stack trace that errors of a class carry, so that each log entry
// stays on one line.
func errorText(_ []string, a slog.Attr) slog.Attr {
	if err, ok := a.Value.Any().(error); ok {
		a.Value = slog.StringValue(err.Error())
	}
	return a
}

// goMemoryShare is the share of the process's memory limit that is set as the soft memory limit of the Go runtime, above
// which it collects garbage at any CPU cost. The rest is for thread stacks and kernel buffers.
const goMemoryShare = 0.7

func setMemoryLimit(s *settings.Settings) {
	if s.MemoryLimitMB > 0 {
		debug.SetMemoryLimit(int64(goMemoryShare * float64(s.MemoryLimitMB<<20)))
	}
}

func newIdentity(s *settings.Settings) controlclient.Identity {
	return controlclient.Identity{Instance: s.InstanceID, Boot: uuid.NewString()}
}

// secret is the shared secret with which processes of the router authenticate to each other.
type secret []byte

func newSecret(s *settings.Settings) (secret, error) {
	if s.PeerAuthentication == "network" {
		return nil, nil
	}
	raw, err := os.ReadFile(s.PeerSecretFile)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	raw = bytes.TrimSpace(raw)
	if len(raw) < minSecretBytes {
		return nil, Error.Wrap(&settings.Fault{
			File: s.PeerSecretFile, Section: "secrets", Key: "peer_secret_file", Allowed: "a file with at least 16 bytes",
		})
	}
	return raw, nil
}

func newPeerPool(key secret) *peer.Pool { return peer.NewPool(key, dialTimeout) }

func newPeerServer(
	s *settings.Settings, key secret, ring *timeline.Ring, guard *callerconn.Guard, log *slog.Logger,
) (*peer.Server, error) {
	server, err := peer.Listen(s.PeerListen, key, log)
	if err != nil {
		return nil, err
	}
	server.WrapListener(func(l net.Listener) net.Listener { return guard.Listen(l, "peers") })
	return server, server.Register(timeline.ServiceName, timeline.NewService(ring))
}

func newTimelineRing(identity controlclient.Identity, clock *event.Clock) *timeline.Ring {
	return timeline.NewRing(identity.Instance, clock, timeline.DefaultEventCount)
}

func newRegistry() (*prometheus.Registry, prometheus.Registerer) {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return registry, registry
}

func newControlClient(s *settings.Settings, pool *peer.Pool, identity controlclient.Identity, clock *event.Clock) *controlclient.Client {
	return controlclient.New(pool, controlclient.Group{Addresses: s.ReplicaAddresses(), DiscoverReplicas: len(s.SeedHosts) > 0}, identity, clock)
}

func newMember(s *settings.Settings, identity controlclient.Identity) control.Member {
	return control.Member{
		Instance: s.InstanceID, Boot: identity.Boot, AvailabilityZone: s.AvailabilityZone, Region: s.Region,
		PeerAddress: s.PeerAdvertise, CallerAddress: s.CallerAdvertise, RelayAddress: s.RelayAdvertise,
	}
}
