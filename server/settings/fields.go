package settings

import (
	"encoding/hex"
	"fmt"
	"io"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// Field describes one key of the INI file.
type Field struct {
	Section, Key string
	Required     bool
	// Default is used when the key is absent.
	Default string
	// Allowed says which values are accepted, with the unit.
	Allowed string
	// Use says what the key is for.
	Use string
	set func(s *Settings, value string) bool
}

// portAfterPeers is the value of listen.relay for templates that can't compute a port.
const portAfterPeers = "peers+1"

const addressAllowed = "host:port with an IP number as host"

// Fields lists every key that a settings file may contain.
var Fields = []Field{
	{Section: "instance", Key: "id", Required: true, Allowed: "letters, digits, - and _",
		Use: "name of this instance, unique in the fleet", set: textSetter(func(s *Settings) *string { return &s.InstanceID }, isValidName)},
	{Section: "instance", Key: "availability_zone", Required: true, Allowed: "letters, digits, - and _",
		Use: "availability zone of this instance", set: textSetter(func(s *Settings) *string { return &s.AvailabilityZone }, isValidName)},
	{Section: "instance", Key: "region", Allowed: "letters, digits, - and _",
		Use: "region of this instance", set: textSetter(func(s *Settings) *string { return &s.Region }, isValidName)},
	{Section: "instance", Key: "roles", Required: true, Allowed: "control, entry, or both separated by a comma",
		Use: "what this process does", set: setRoles},
	{Section: "instance", Key: "data_dir", Allowed: "a folder on a disk",
		Use: "durable files of a control replica", set: textSetter(func(s *Settings) *string { return &s.DataDir }, nil)},
	{Section: "listen", Key: "callers", Allowed: addressAllowed, Use: "HTTP for callers",
		set: textSetter(func(s *Settings) *string { return &s.CallerListen }, isValidAddress)},
	{Section: "listen", Key: "operators", Allowed: addressAllowed, Use: "HTTP for operators",
		set: textSetter(func(s *Settings) *string { return &s.OperatorListen }, isValidAddress)},
	{Section: "listen", Key: "peers", Required: true, Allowed: addressAllowed, Use: "net/rpc between instances",
		set: textSetter(func(s *Settings) *string { return &s.PeerListen }, isValidAddress)},
	{Section: "listen", Key: "relay", Allowed: addressAllowed + ", or " + portAfterPeers + " for the port after that of listen.peers", Use: "connections to backend servers that are forwarded for entry instances without own paths to them; empty: none",
		set: textSetter(func(s *Settings) *string { return &s.RelayListen }, func(v string) bool { return v == portAfterPeers || isValidAddress(v) })},
	{Section: "listen", Key: "announcements", Allowed: addressAllowed, Use: "HTTP for announcements of backend servers",
		set: textSetter(func(s *Settings) *string { return &s.AnnounceListen }, isValidAddress)},
	{Section: "listen", Key: "readiness", Allowed: addressAllowed, Use: "HTTP for the load balancer's readiness question; empty: answered by callers and metrics",
		set: textSetter(func(s *Settings) *string { return &s.ReadinessListen }, isValidAddress)},
	{Section: "listen", Key: "metrics", Allowed: addressAllowed, Use: "HTTP for metrics, /healthz and /readyz",
		set: textSetter(func(s *Settings) *string { return &s.MetricsListen }, isValidAddress)},
	{Section: "advertise", Key: "callers", Allowed: addressAllowed, Use: "where other instances reach the caller listener; default listen.callers",
		set: textSetter(func(s *Settings) *string { return &s.CallerAdvertise }, isValidAddress)},
	{Section: "advertise", Key: "peers", Allowed: addressAllowed, Use: "where other instances reach the peer listener; default listen.peers",
		set: textSetter(func(s *Settings) *string { return &s.PeerAdvertise }, isValidAddress)},
	{Section: "advertise", Key: "relay", Allowed: addressAllowed, Use: "where other instances reach the relay listener; default listen.relay",
		set: textSetter(func(s *Settings) *string { return &s.RelayAdvertise }, isValidAddress)},
	{Section: "control", Key: "replicas", Allowed: "id=host:port, separated by commas, 1 to 7 of them",
		Use: "control replicas and their peer addresses; required unless control.seeds is set", set: setReplicas},
	{Section: "control", Key: "seeds", Allowed: "host:port, separated by commas, 1 to 7 of them",
		Use: "hosts of some control replicas, in place of control.replicas: each instance listens for peers on the port of listen.peers, and control replicas join by themselves",
		set: setSeeds},
	{Section: "control", Key: "tolerated_losses", Default: "0", Allowed: "a number from 0 to 3",
		Use: "data folders that may be lost at once: a change is confirmed once one more copy than that is synced, and with control.seeds the group grows to twice that plus one voters",
		set: intSetter(func(s *Settings) *int { return &s.ToleratedLosses }, 0, 3)},
	{Section: "control", Key: "bootstrap", Default: "false", Allowed: "true or false",
		Use: "true starts a new group on empty data folders; false lets an empty folder rejoin as a learner",
		set: func(s *Settings, v string) bool { return parseInto(&s.Bootstrap, v, strconv.ParseBool) }},
	{Section: "control", Key: "election_timeout", Default: "500ms", Allowed: "a duration from 100ms to 10s",
		Use: "least time without a leader after which a control replica starts an election",
		set: durationSetter(func(s *Settings) *time.Duration { return &s.ElectionTimeout }, 100*time.Millisecond, 10*time.Second)},
	{Section: "control", Key: "rollout_exposure", Default: "0.15", Allowed: "a number from 0.05 to 0.5",
		Use: "share of a service's requests within the time limit of a roll-out that may reach a new version which shows no fault",
		set: floatSetter(func(s *Settings) *float64 { return &s.RolloutExposure }, 0.05, 0.5)},
	{Section: "secrets", Key: "peer_authentication", Default: "secret", Allowed: "secret or network",
		Use: "how peers are authenticated: by the secret of peer_secret_file, or network where the network admits only the system's own processes",
		set: textSetter(func(s *Settings) *string { return &s.PeerAuthentication }, func(v string) bool { return v == "secret" || v == "network" })},
	{Section: "secrets", Key: "peer_secret_file", Allowed: "a file with at least 16 bytes",
		Use: "shared secret of the system's own processes; required with peer_authentication = secret", set: textSetter(func(s *Settings) *string { return &s.PeerSecretFile }, nil)},
	{Section: "secrets", Key: "operator_token_sha256", Allowed: "a lower-case SHA-256 in hexadecimal",
		Use: "hash of the operators' bearer token", set: textSetter(func(s *Settings) *string { return &s.OperatorTokenSHA256 }, isValidHash)},
	{Section: "entry", Key: "max_view_age", Default: "6s", Allowed: "a duration from 1s to 9s",
		Use: "age of the control view after which new requests are refused",
		set: durationSetter(func(s *Settings) *time.Duration { return &s.MaxViewAge }, time.Second, 9*time.Second)},
	{Section: "entry", Key: "max_entries", Default: "9", Allowed: "a number from 1 to 1000",
		Use: "largest number of entry instances that fleet-wide limits are prepared for",
		set: intSetter(func(s *Settings) *int { return &s.MaxEntries }, 1, 1000)},
	{Section: "entry", Key: "max_body_bytes", Default: "8388608", Allowed: "bytes, from 1024 to 67108864",
		Use: "largest request body", set: intSetter(func(s *Settings) *int { return &s.MaxBodyBytes }, 1024, 64<<20)},
	{Section: "entry", Key: "request_time_limit", Default: "10m", Allowed: "a duration from 1s to 1h",
		Use: "time limit of a request that names no deadline",
		set: durationSetter(func(s *Settings) *time.Duration { return &s.RequestTimeLimit }, time.Second, time.Hour)},
	{Section: "entry", Key: "revocation_limit", Allowed: "a duration from 2s to 1m",
		Use: "time within which a revoked key must stop working at each instance, also at one that is cut off; lowers max_view_age to half a second less",
		set: durationSetter(func(s *Settings) *time.Duration { return &s.RevocationLimit }, 2*time.Second, time.Minute)},
	{Section: "entry", Key: "stop_grace", Allowed: "a duration from 1s to 1h",
		Use: "time after SIGTERM at which the process is killed: open requests are ended before; empty: a stop waits for each of them",
		set: durationSetter(func(s *Settings) *time.Duration { return &s.StopGrace }, time.Second, time.Hour)},
	{Section: "entry", Key: "retry_ratio", Default: "0.1", Allowed: "a number from 0 to 1",
		Use: "share of the routed requests of a service within 10 s that may be sent once more",
		set: floatSetter(func(s *Settings) *float64 { return &s.RetryRatio }, 0, 1)},
	{Section: "entry", Key: "retry_slack", Default: "30", Allowed: "a number from 0 to 10000",
		Use: "repeated routed requests of a service within 10 s beside retry_ratio, over all entry instances",
		set: floatSetter(func(s *Settings) *float64 { return &s.RetrySlack }, 0, 10_000)},
	{Section: "entry", Key: "sure_confidence", Default: "60", Allowed: "a number from 1 to 100",
		Use: "confidence from which on the answer of a smaller model is delivered without asking a larger one",
		set: intSetter(func(s *Settings) *int { return &s.SureConfidence }, 1, 100)},
	{Section: "entry", Key: "overload_control", Default: "false", Allowed: "true or false",
		Use: "true orders, holds back and rejects routed requests early when a pool has no capacity; false does so only for pools whose backend servers report how long work takes on their machines",
		set: func(s *Settings, v string) bool { return parseInto(&s.OverloadControl, v, strconv.ParseBool) }},
	{Section: "entry", Key: "timed_placement", Default: "false", Allowed: "true or false",
		Use: "true chooses backend servers by the expected times that are learned, false by load; for pools whose rates are learned",
		set: func(s *Settings, v string) bool { return parseInto(&s.TimedPlacement, v, strconv.ParseBool) }},
	{Section: "platform", Key: "adapter", Allowed: "the name of an adapter that is built in", Use: "adapter that translates the interfaces of a platform; empty: none",
		set: textSetter(func(s *Settings) *string { return &s.Adapter }, isValidName)},
	{Section: "platform", Key: "contracts", Allowed: "names separated by commas",
		Use: "contracts of the platform that apply to this deployment; the adapter translates the names that it knows; empty: none", set: setContracts},
	{Section: "platform", Key: "rating_url", Allowed: "an http or https URL", Use: "rating service; empty: none",
		set: textSetter(func(s *Settings) *string { return &s.RatingURL }, isValidURL)},
	{Section: "platform", Key: "weight_store_url", Allowed: "an http or https URL", Use: "weight store; empty: none",
		set: textSetter(func(s *Settings) *string { return &s.WeightStoreURL }, isValidURL)},
	{Section: "instance", Key: "memory_limit_mb", Allowed: "megabytes, from 32 to 1048576",
		Use: "memory that the process may use; empty: no limit", set: intSetter(func(s *Settings) *int { return &s.MemoryLimitMB }, 32, 1<<20)},
	{Section: "instance", Key: "descriptor_limit", Default: "0", Allowed: "a number of descriptors from 64 to 1073741824, or 0",
		Use: "file descriptors that the process may have open; 0: the limit that the process was started with (RLIMIT_NOFILE)",
		set: zeroOr(intSetter(func(s *Settings) *int { return &s.DescriptorLimit }, 64, 1<<30))},
	{Section: "clients", Key: "max_connections", Default: "0", Allowed: "a number from 16 to 1000000, or 0",
		Use: "open connections of all listeners together; 0: half of the descriptors but 200, and at most one for each 64 KiB of memory_limit_mb",
		set: zeroOr(intSetter(func(s *Settings) *int { return &s.MaxConnections }, 16, 1_000_000))},
	{Section: "clients", Key: "max_header_bytes", Default: "131072", Allowed: "bytes, from 4096 to 1048576",
		Use: "largest header of a request; the catalogue may set a smaller one for callers",
		set: intSetter(func(s *Settings) *int { return &s.MaxHeaderBytes }, 4<<10, 1<<20)},
	{Section: "clients", Key: "max_header_fields", Default: "4096", Allowed: "a number from 16 to 100000",
		Use: "lines in the header of a request", set: intSetter(func(s *Settings) *int { return &s.MaxHeaderFields }, 16, 100_000)},
	{Section: "clients", Key: "header_memory_bytes", Default: "0", Allowed: "bytes, from 65536 to 1073741824, or 0",
		Use: "memory for all headers together beyond the first 4 KiB and 48 fields of each; 0: a sixteenth of memory_limit_mb, without that 64 MiB",
		set: zeroOr(intSetter(func(s *Settings) *int { return &s.HeaderMemoryBytes }, 64<<10, 1<<30))},
	{Section: "clients", Key: "operator_body_bytes", Default: "0", Allowed: "bytes, from 1048576 to 1073741824, or 0",
		Use: "memory for the request bodies of operators and backend servers together, of which each takes four times its size; 0: a sixth of memory_limit_mb, at least 17 MiB, without that 64 MiB",
		set: zeroOr(intSetter(func(s *Settings) *int { return &s.OperatorBodyBytes }, 1<<20, 1<<30))},
	{Section: "clients", Key: "body_progress", Default: "10s", Allowed: "a duration from 1s to 10m",
		Use: "time after which a request body that is sent at less than min_body_rate is given up",
		set: durationSetter(func(s *Settings) *time.Duration { return &s.BodyProgress }, time.Second, 10*time.Minute)},
	{Section: "clients", Key: "min_body_rate", Default: "4096", Allowed: "bytes per second, from 1 to 1048576",
		Use: "rate at which a request body is never given up for its slowness", set: intSetter(func(s *Settings) *int { return &s.MinBodyRate }, 1, 1<<20)},
	{Section: "clients", Key: "write_progress", Default: "20s", Allowed: "a duration from 1s to 10m",
		Use: "time within which a client must accept 16 KiB of an answer", set: durationSetter(func(s *Settings) *time.Duration { return &s.WriteProgress }, time.Second, 10*time.Minute)},
	{Section: "clients", Key: "socket_buffer_bytes", Default: "131072", Allowed: "bytes, from 4096 to 16777216",
		Use: "kernel memory for what a connection has received or has still to send, in each direction",
		set: intSetter(func(s *Settings) *int { return &s.SocketBufferBytes }, 4<<10, 16<<20)},
	{Section: "clients", Key: "max_json_values", Default: "1000000", Allowed: "a number from 100 to 100000000",
		Use: "values in a JSON body, those in lists and objects included", set: intSetter(func(s *Settings) *int { return &s.MaxJSONValues }, 100, 100_000_000)},
	{Section: "clients", Key: "max_json_depth", Default: "200", Allowed: "a number from 10 to 10000",
		Use: "lists and objects inside of each other in a JSON body", set: intSetter(func(s *Settings) *int { return &s.MaxJSONDepth }, 10, 10_000)},
	{Section: "log", Key: "lines_per_second", Default: "2000", Allowed: "a number from 10 to 100000",
		Use: "log lines a second, over which lines are dropped and counted", set: intSetter(func(s *Settings) *int { return &s.LogLinesPerSecond }, 10, 100_000)},
	{Section: "log", Key: "level", Default: "info", Allowed: "debug, info, warn or error", Use: "least level that is logged",
		set: func(s *Settings, v string) bool { return s.LogLevel.UnmarshalText([]byte(v)) == nil && isLevel(v) }},
}

// WriteReference prints the reference of all keys as Markdown.
func WriteReference(w io.Writer) error {
	section := ""
	for _, f := range Fields {
		if f.Section != section {
			section = f.Section
			if _, err := fmt.Fprintf(w, "\n## [%s]\n\n| key | use | allowed | default |\n|---|---|---|---|\n", section); err != nil {
				return Class.Wrap(err)
			}
		}
		fallback := f.Default
		if f.Required {
			fallback = "required"
		}
		if _, err := fmt.Fprintf(w, "| `%s` | %s | %s | %s |\n", f.Key, f.Use, f.Allowed, fallback); err != nil {
			return Class.Wrap(err)
		}
	}
	return nil
}

func textSetter(target func(*Settings) *string, valid func(string) bool) func(*Settings, string) bool {
	return func(s *Settings, v string) bool {
		if valid != nil && !valid(v) {
			return false
		}
		*target(s) = v
		return true
	}
}

func durationSetter(target func(*Settings) *time.Duration, least, most time.Duration) func(*Settings, string) bool {
	return func(s *Settings, v string) bool {
		return parseInto(target(s), v, time.ParseDuration) && *target(s) >= least && *target(s) <= most
	}
}

func floatSetter(target func(*Settings) *float64, least, most float64) func(*Settings, string) bool {
	return func(s *Settings, v string) bool {
		return parseInto(target(s), v, func(v string) (float64, error) { return strconv.ParseFloat(v, 64) }) && *target(s) >= least && *target(s) <= most
	}
}

func intSetter(target func(*Settings) *int, least, most int) func(*Settings, string) bool {
	return func(s *Settings, v string) bool {
		return parseInto(target(s), v, strconv.Atoi) && *target(s) >= least && *target(s) <= most
	}
}

// zeroOr accepts 0 beside what set accepts. It leaves the field at 0.
func zeroOr(set func(*Settings, string) bool) func(*Settings, string) bool {
	return func(s *Settings, v string) bool { return v == "0" || set(s, v) }
}

func parseInto[T any](target *T, v string, parser func(string) (T, error)) bool {
	value, err := parser(v)
	*target = value
	return err == nil
}

func setRoles(s *Settings, v string) bool {
	for role := range strings.SplitSeq(v, ",") {
		switch strings.TrimSpace(role) {
		case "control":
			s.Control = true
		case "entry":
			s.Entry = true
		default:
			return false
		}
	}
	return true
}

// maxReplicas is the largest number of control replicas or seeds that a file may list.
const maxReplicas = 7

func setReplicas(s *Settings, v string) bool {
	seen := map[string]bool{}
	for item := range strings.SplitSeq(v, ",") {
		id, address, ok := strings.Cut(strings.TrimSpace(item), "=")
		if !ok || !isValidName(id) || !isValidAddress(address) || seen[id] || seen[address] {
			return false
		}
		seen[id], seen[address] = true, true
		s.Replicas = append(s.Replicas, Replica{ID: id, Address: address})
	}
	return len(s.Replicas) <= maxReplicas
}

func setSeeds(s *Settings, v string) bool {
	for item := range strings.SplitSeq(v, ",") {
		seed, err := netip.ParseAddrPort(strings.TrimSpace(item))
		if err != nil {
			return false
		}
		s.SeedHosts = append(s.SeedHosts, seed.Addr())
	}
	return len(s.SeedHosts) <= maxReplicas
}

// setContracts accepts any names, as a new contract of the platform must not keep the process from starting.
func setContracts(s *Settings, v string) bool {
	for item := range strings.SplitSeq(v, ",") {
		if name := strings.TrimSpace(item); name != "" {
			s.Contracts = append(s.Contracts, name)
		}
	}
	return true
}

func isValidName(v string) bool {
	return v != "" && strings.IndexFunc(v, func(r rune) bool {
		return (r < 'a' || r > 'z') && (r < 'A' || r > 'Z') && (r < '0' || r > '9') && r != '-' && r != '_'
	}) < 0
}

func isValidAddress(v string) bool {
	_, err := netip.ParseAddrPort(v)
	return err == nil
}

func isValidHash(v string) bool {
	raw, err := hex.DecodeString(v)
	return err == nil && len(raw) == 32 && v == strings.ToLower(v)
}

func isValidURL(v string) bool {
	u, err := url.Parse(v)
	return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
}

func isLevel(v string) bool {
	switch v {
	case "debug", "info", "warn", "error":
		return true
	}
	return false
}
