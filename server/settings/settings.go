// Package settings reads and checks the static settings of one process from an INI file.
package settings

import (
	"fmt"
	"log/slog"
	"net/netip"
	"strings"
	"time"

	"github.com/zeebo/errs"
	"gopkg.in/ini.v1"
)

// Class is the class of all errors of this package.
var Class = errs.Class("settings")

// Replica is one control replica of the group.
type Replica struct {
	ID string
	// Address is the host:port of the replica's peer listener, with an IP address as host.
	Address string
}

// Settings are the static settings of one process. They are read once.
type Settings struct {
	// File is where the settings were read from.
	File string

	InstanceID       string
	AvailabilityZone string
	Region           string
	Control          bool
	Entry            bool
	// DataDir holds the durable files of a control replica.
	DataDir string

	CallerListen   string
	OperatorListen string
	PeerListen     string
	AnnounceListen string
	MetricsListen  string
	// ReadinessListen is the address of a listener for the readiness probe only; empty if there is no such listener.
	ReadinessListen string
	// RelayListen is the address at which an entry instance forwards connections to backend servers; empty if it doesn't.
	RelayListen string
	// CallerAdvertise, PeerAdvertise and RelayAdvertise are the addresses that other instances connect to. Default: the listen addresses.
	CallerAdvertise string
	PeerAdvertise   string
	RelayAdvertise  string

	// Replicas are the control replicas that control.replicas or control.seeds lists.
	Replicas []Replica
	// SeedHosts are the hosts of some control replicas; empty when control.replicas lists all of them.
	SeedHosts []netip.Addr
	// ElectionTimeout is the shortest time without a leader after which a replica starts an election. Default 500 ms.
	ElectionTimeout time.Duration
	// ToleratedLosses is the number of data folders that may be lost at once. Default 0.
	ToleratedLosses int
	// RolloutExposure is the largest share, 0 to 1, of a service's requests during a roll-out that go to the new version,
	// even if no fault is found.
	RolloutExposure float64
	// Bootstrap allows control replicas with empty data folders to start a new group. Default false: a replica with an empty
	// folder joins the existing group as a learner.
	Bootstrap bool

	// PeerAuthentication says how peers are authenticated: "secret" by the secret in PeerSecretFile, "network" not at all,
	// because the network admits only the system's own processes.
	PeerAuthentication  string
	PeerSecretFile      string
	OperatorTokenSHA256 string

	// MaxViewAge is the age of the control view after which new requests are refused.
	MaxViewAge time.Duration
	// MaxEntries is the largest number of entry instances in the fleet. The part of a fleet-wide limit that each of them may
	// always use is computed from it.
	MaxEntries int
	// MaxBodyBytes is the size of the largest request body.
	MaxBodyBytes int
	// RequestTimeLimit is the time limit of a request that doesn't set a deadline.
	RequestTimeLimit time.Duration
	RatingURL        string
	WeightStoreURL   string
	LogLevel         slog.Level
	// LogLinesPerSecond is the largest number of lines logged in a second; further lines are dropped and counted.
	LogLinesPerSecond int
	// Adapter is the name of the platform's adapter; empty if there is none.
	Adapter string
	// Contracts are the names of the platform's contracts that apply, which the adapter translates.
	Contracts []string
	// OverloadControl applies overload control to all routed requests.
	OverloadControl bool
	// TimedPlacement chooses backend servers by learned times instead of load, in pools whose rates are learned.
	TimedPlacement bool
	// RevocationLimit is the time within which a revoked key must stop working everywhere; 0 if only MaxViewAge limits it.
	RevocationLimit time.Duration
	// StopGrace is the time after SIGTERM after which the platform kills the process; 0 if it never does.
	StopGrace time.Duration
	// RetryRatio is the share of a service's routed requests within 10 s that may be repeated. RetrySlack is the number of
	// repetitions within 10 s allowed on top of that share, by all entry instances together.
	RetryRatio, RetrySlack float64
	// SureConfidence is the lowest confidence, 1 to 100, at which the answer of a smaller model is delivered without a
	// request to a larger model.
	SureConfidence int
	// MemoryLimitMB is the memory that the process may use, in MB; 0 if it is not limited.
	MemoryLimitMB int
	// DescriptorLimit is the number of file descriptors that the process may have open; 0 for the limit of the process.
	DescriptorLimit int

	// MaxConnections bounds the open connections of all listeners, HeaderMemoryBytes the memory of all headers, OperatorBodyBytes
	// that of the bodies of operators and backend servers. 0 stands for a default that follows from the limits of the process.
	MaxConnections, HeaderMemoryBytes, OperatorBodyBytes int
	// MaxHeaderBytes and MaxHeaderFields bound the header of a request.
	MaxHeaderBytes, MaxHeaderFields int
	// BodyProgress is the time after which a body is given up that is sent at less than MinBodyRate bytes per second.
	BodyProgress time.Duration
	MinBodyRate  int
	// WriteProgress is the time within which a client must accept 16 KiB of an answer.
	WriteProgress time.Duration
	// SocketBufferBytes is the size of the kernel's buffers for each direction of a connection.
	SocketBufferBytes int
	// MaxJSONValues and MaxJSONDepth bound the decoded form of JSON bodies.
	MaxJSONValues, MaxJSONDepth int
}

// Fault is one rejected setting.
type Fault struct {
	File, Section, Key string
	// Value is the value in the file; Allowed says which values are allowed.
	Value, Allowed string
}

// Error returns a text with the file, section and key, the value in the file and the allowed values.
func (f *Fault) Error() string {
	return fmt.Sprintf("%s: [%s] %s = %q: %s", f.File, f.Section, f.Key, f.Value, f.Allowed)
}

// Load reads and checks the file. The error joins every Fault that was found.
func Load(file string) (*Settings, error) {
	source, err := ini.LoadSources(ini.LoadOptions{AllowShadows: true}, file)
	if err != nil {
		return nil, Class.Wrap(err)
	}
	s := &Settings{File: file}
	var faults errs.Group
	for _, f := range Fields {
		faults.Add(f.read(file, source, s))
	}
	faults.Add(unknownKeys(file, source)...)
	if faults.Err() == nil {
		faults.Add(s.validate(file)...)
	}
	if err := faults.Err(); err != nil {
		return nil, Class.Wrap(err)
	}
	s.setDerivedFields()
	return s, nil
}

func (f *Field) read(file string, source *ini.File, s *Settings) error {
	value := f.Default
	section, err := source.GetSection(f.Section)
	if err == nil && section.HasKey(f.Key) {
		shadows := section.Key(f.Key).ValueWithShadows()
		if len(shadows) > 1 {
			return &Fault{file, f.Section, f.Key, strings.Join(shadows, ", "), "the key may stand once"}
		}
		value = section.Key(f.Key).String()
	}
	if value == "" {
		if f.Required {
			return &Fault{file, f.Section, f.Key, value, f.Allowed}
		}
		return nil
	}
	if !f.set(s, value) {
		return &Fault{file, f.Section, f.Key, value, f.Allowed}
	}
	return nil
}

func unknownKeys(file string, source *ini.File) []error {
	known := make(map[string]bool, len(Fields))
	for _, f := range Fields {
		known[f.Section+"."+f.Key] = true
	}
	var faults []error
	for _, section := range source.Sections() {
		for _, key := range section.Keys() {
			if !known[section.Name()+"."+key.Name()] {
				faults = append(faults, &Fault{file, section.Name(), key.Name(), key.String(), "the key is unknown"})
			}
		}
	}
	return faults
}

// validate returns a Fault for each setting that is missing or not allowed in combination with others.
func (s *Settings) validate(file string) []error {
	var faults []error
	if s.Control && s.DataDir == "" {
		faults = append(faults, &Fault{file, "instance", "data_dir", "", "a folder, as the role control keeps durable state"})
	}
	if s.Control && s.OperatorListen == "" {
		faults = append(faults, &Fault{file, "listen", "operators", "", "host:port, as the role control serves operators"})
	}
	if (len(s.Replicas) == 0) == (len(s.SeedHosts) == 0) {
		faults = append(faults, &Fault{file, "control", "replicas", "", "either control.replicas or control.seeds"})
	}
	if s.PeerAuthentication == "secret" && s.PeerSecretFile == "" {
		faults = append(faults, &Fault{file, "secrets", "peer_secret_file", "", "a file, as peer_authentication is secret"})
	}
	if s.Control && s.OperatorTokenSHA256 == "" && s.Adapter == "" {
		faults = append(faults, &Fault{file, "secrets", "operator_token_sha256", "", "a SHA-256 in hexadecimal, as the role control serves operators"})
	}
	if s.Entry && s.CallerListen == "" {
		faults = append(faults, &Fault{file, "listen", "callers", "", "host:port, as the role entry serves callers"})
	}
	if s.Bootstrap && !s.Control && len(s.SeedHosts) == 0 {
		faults = append(faults, &Fault{file, "control", "bootstrap", "true", "false, as this process is no control replica"})
	}
	if s.Control && s.Bootstrap && len(s.SeedHosts) == 0 && !s.IsListedReplica() {
		faults = append(faults, &Fault{file, "control", "replicas", s.InstanceID, "a list that contains this instance"})
	}
	return faults
}

func (s *Settings) setDerivedFields() {
	if s.CallerAdvertise == "" {
		s.CallerAdvertise = s.CallerListen
	}
	if s.PeerAdvertise == "" {
		s.PeerAdvertise = s.PeerListen
	}
	if peers, err := netip.ParseAddrPort(s.PeerListen); err == nil && s.RelayListen == portAfterPeers {
		s.RelayListen = netip.AddrPortFrom(peers.Addr(), peers.Port()+1).String()
	}
	if s.RelayAdvertise == "" {
		s.RelayAdvertise = s.RelayListen
	}
	if s.RevocationLimit > 0 {
		s.MaxViewAge = min(s.MaxViewAge, s.RevocationLimit-revocationMargin)
	}
	if peers, err := netip.ParseAddrPort(s.PeerAdvertise); err == nil {
		for _, host := range s.SeedHosts {
			s.Replicas = append(s.Replicas, Replica{ID: host.String(), Address: netip.AddrPortFrom(host, peers.Port()).String()})
		}
	}
}

// revocationMargin is the longest time that a request may take from the caller to the check of the caller's key.
const revocationMargin = 500 * time.Millisecond

// ReplicaID returns the id of this process as a control replica. With control.seeds it is the host of the peer address,
// because that is all that instances know of each other before they first connect.
func (s *Settings) ReplicaID() string {
	if peers, err := netip.ParseAddrPort(s.PeerAdvertise); err == nil && len(s.SeedHosts) > 0 {
		return peers.Addr().String()
	}
	return s.InstanceID
}

// IsListedReplica reports whether this process is one of the control replicas that the settings list.
func (s *Settings) IsListedReplica() bool {
	for _, r := range s.Replicas {
		if r.ID == s.ReplicaID() {
			return true
		}
	}
	return false
}

// GroupSize returns the number of voters that the control group grows to; 0 if only operators change the membership.
func (s *Settings) GroupSize() int {
	if len(s.SeedHosts) == 0 {
		return 0
	}
	return 2*s.ToleratedLosses + 1
}

// ReplicaAddresses returns the peer addresses of the control replicas.
func (s *Settings) ReplicaAddresses() []string {
	out := make([]string, 0, len(s.Replicas))
	for _, r := range s.Replicas {
		out = append(out, r.Address)
	}
	return out
}
