// Package site runs the daemons of a small site as separate processes on loopback addresses, for tests and examples.
package site

import (
	"bytes"
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"text/template"
	"time"

	"github.com/google/uuid"
	"github.com/zeebo/errs"

	"clementinetray/api/catalogue"
	"clementinetray/api/control"
	"clementinetray/api/event"
	"clementinetray/standin/link"
)

// Error is the class of all errors of this package.
var Error = errs.Class("site")

// OperatorToken is the token with which operators authenticate.
const OperatorToken = "operator-token-of-the-small-site"

// Binaries holds the paths of the daemon and of clementinectl.
type Binaries struct{ Daemon, Ctl string }

// Build compiles the two programs into dir, with flags as extra arguments of go build.
func Build(dir string, flags ...string) (Binaries, error) {
	b := Binaries{Daemon: filepath.Join(dir, "clementinetray"), Ctl: filepath.Join(dir, "clementinectl")}
	for path, pkg := range map[string]string{
		b.Daemon: "clementinetray/server/cmd/clementinetray",
		b.Ctl:    "clementinetray/ctl/cmd/clementinectl",
	} {
		args := append([]string{"build", "-o", path}, flags...)
		if out, err := exec.Command("go", append(args, pkg)...).CombinedOutput(); err != nil {
			return b, Error.New("build %s: %v: %s", pkg, err, out)
		}
	}
	return b, nil
}

// Config describes a site.
type Config struct {
	Binaries Binaries
	// Dir holds settings, secrets, data folders and logs.
	Dir string
	// ControlCount is the number of instances with the roles control and entry, EntryCount that of instances with the role
	// entry only.
	ControlCount int
	EntryCount   int
	// Zones holds the availability zones, to which the instances are assigned in turn.
	Zones []string
	// UseLinks puts a forwarder in front of each control replica for each other instance, so that traffic can be cut.
	UseLinks bool
	// RatingURL is the setting platform.rating_url. Empty leaves it out.
	RatingURL string
	// MaxViewAge is the setting entry.max_view_age. Default 6s.
	MaxViewAge time.Duration
	// MemoryLimitMB is the setting instance.memory_limit_mb, StopGrace the setting entry.stop_grace. Zero leaves them out.
	MemoryLimitMB int
	StopGrace     time.Duration
	// UseReadiness sets listen.readiness. ExtraSettings holds further sections of the settings files as INI text.
	UseReadiness  bool
	ExtraSettings string
}

// Instance is one daemon and its files.
type Instance struct {
	ID               string
	AvailabilityZone string
	// Control says whether the instance has the role control.
	Control bool
	// Addresses of the listeners as host:port. Operators is in use on control instances only, Readiness with
	// Config.UseReadiness only.
	Callers       string
	Readiness     string
	Operators     string
	Peers         string
	Announcements string
	Metrics       string
	Relay         string
	// DataDir is the data folder of a control instance, Settings the settings file, LogFile the output of the daemon.
	DataDir  string
	Settings string
	LogFile  string
	// links holds, by replica id, the forwarder from this instance to the replica.
	links   map[string]*link.Link
	process process
}

// Site is a set of instances that form one system.
type Site struct {
	config    Config
	network   string // the first three parts of the instances' addresses
	Instances []*Instance
	client    *http.Client
	// readiness sends the readiness checks. It shares no connections with client: net/http returns a connection to its pool before
	// it delivers an answer without a body, and when the deadline of a check passes at that moment, the next request on the
	// connection fails with the error of the check.
	readiness *http.Client
}

// New writes the settings files of a site and starts its forwarders, but no daemon.
func New(config Config) (*Site, error) {
	s := &Site{config: config, network: newNetwork(), client: &http.Client{Timeout: 20 * time.Second}, readiness: newReadinessClient()}
	if config.MaxViewAge == 0 {
		s.config.MaxViewAge = 6 * time.Second
	}
	if err := os.WriteFile(s.secretFile(), []byte("shared secret of the small site"), 0o600); err != nil {
		return nil, Error.Wrap(err)
	}
	for i := range config.ControlCount + config.EntryCount {
		instance, err := s.newInstance(i)
		if err != nil {
			return nil, err
		}
		s.Instances = append(s.Instances, instance)
	}
	for _, instance := range s.Instances {
		if err := s.WriteSettings(instance, true); err != nil {
			return nil, err
		}
	}
	return s, nil
}

func (s *Site) secretFile() string { return filepath.Join(s.config.Dir, "peer.secret") }

// newInstance returns the instance with the given number, from 0, and creates its folder.
func (s *Site) newInstance(number int) (*Instance, error) {
	id := fmt.Sprintf("i%d", number+1)
	dir := filepath.Join(s.config.Dir, id)
	if err := os.MkdirAll(dir, 0o750); err != nil {
		return nil, Error.Wrap(err)
	}
	address := func(port int) string { return fmt.Sprintf("%s.%d:%d", s.network, number+1, port) }
	return &Instance{
		ID: id, AvailabilityZone: s.config.Zones[number%len(s.config.Zones)], Control: number < s.config.ControlCount,
		Callers: address(8001), Operators: address(8002), Peers: address(8003), Announcements: address(8004), Metrics: address(8005), Readiness: address(8006),
		Relay:   address(8007),
		DataDir: filepath.Join(dir, "data"), Settings: filepath.Join(dir, "settings.ini"), LogFile: filepath.Join(dir, "log"),
		links: map[string]*link.Link{},
	}, nil
}

// newNetwork returns the first three parts of random loopback addresses, so that each site has its own. On a shared address
// another process could take a free port before the daemon listens on it.
func newNetwork() string {
	return fmt.Sprintf("127.%d.%d", 1+rand.IntN(254), rand.IntN(256))
}

var settingsTemplate = template.Must(template.New("settings").Parse(`[instance]
id = {{.I.ID}}
availability_zone = {{.I.AvailabilityZone}}
roles = {{if .I.Control}}control, {{end}}entry
{{if .I.Control}}data_dir = {{.I.DataDir}}{{end}}
{{if .MemoryLimitMB}}memory_limit_mb = {{.MemoryLimitMB}}{{end}}
[listen]
callers = {{.I.Callers}}
peers = {{.I.Peers}}
announcements = {{.I.Announcements}}
metrics = {{.I.Metrics}}
relay = {{.I.Relay}}
{{if .I.Control}}operators = {{.I.Operators}}{{end}}
{{if .UseReadiness}}readiness = {{.I.Readiness}}{{end}}
[control]
replicas = {{.Replicas}}
bootstrap = {{.Bootstrap}}
[secrets]
peer_secret_file = {{.Secret}}
operator_token_sha256 = {{.Token}}
[entry]
max_view_age = {{.MaxViewAge}}
max_entries = {{.MaxEntries}}
{{if .StopGrace}}stop_grace = {{.StopGrace}}{{end}}
{{if .RatingURL}}[platform]
rating_url = {{.RatingURL}}{{end}}
{{.ExtraSettings}}
`))

// WriteSettings writes the settings file of an instance. With bootstrap, a control instance with an empty data folder
// bootstraps a new group instead of rejoining the existing one.
func (s *Site) WriteSettings(instance *Instance, bootstrap bool) error {
	replicas, err := s.replicaList(instance)
	if err != nil {
		return err
	}
	var out bytes.Buffer
	err = settingsTemplate.Execute(&out, map[string]any{
		"I": instance, "Replicas": replicas, "Bootstrap": bootstrap && instance.Control, "Secret": s.secretFile(),
		"Token": Hash(OperatorToken), "MaxViewAge": s.config.MaxViewAge, "MaxEntries": max(9, len(s.Instances)),
		"RatingURL": s.config.RatingURL, "MemoryLimitMB": s.config.MemoryLimitMB, "StopGrace": s.config.StopGrace,
		"UseReadiness": s.config.UseReadiness, "ExtraSettings": s.config.ExtraSettings,
	})
	if err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(os.WriteFile(instance.Settings, out.Bytes(), 0o600))
}

// replicaList returns the setting control.replicas of the instance from. It starts missing forwarders if UseLinks is set.
func (s *Site) replicaList(from *Instance) (string, error) {
	var items []string
	for _, to := range s.Instances {
		if !to.Control {
			continue
		}
		address := to.Peers
		if s.config.UseLinks && to != from {
			if from.links[to.ID] == nil {
				l, err := link.Start(to.Peers)
				if err != nil {
					return "", err
				}
				from.links[to.ID] = l
			}
			address = from.links[to.ID].Address()
		}
		items = append(items, to.ID+"="+address)
	}
	return strings.Join(items, ", "), nil
}

// Hash returns the SHA-256 of a key or token in hexadecimal.
func Hash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Start starts all daemons without waiting until they are ready.
func (s *Site) Start() error {
	for _, instance := range s.Instances {
		if err := s.StartInstance(instance); err != nil {
			return err
		}
	}
	return nil
}

// Cut silently cuts all traffic between an instance and the control replicas. It needs Config.UseLinks.
func (s *Site) Cut(instance *Instance) { s.forEachLink(instance, (*link.Link).Cut) }

// CutOutgoing silently cuts only the traffic from the instance to the control replicas, both requests and answers.
func (s *Site) CutOutgoing(instance *Instance) {
	for _, l := range instance.links {
		l.CutToTarget()
	}
	for _, other := range s.Instances {
		if l := other.links[instance.ID]; l != nil {
			l.CutFromTarget()
		}
	}
}

// Heal restores all traffic of an instance that was cut off.
func (s *Site) Heal(instance *Instance) { s.forEachLink(instance, (*link.Link).Heal) }

// forEachLink calls do for each forwarder from or to the instance.
func (s *Site) forEachLink(instance *Instance, do func(*link.Link)) {
	for _, l := range instance.links {
		do(l)
	}
	for _, other := range s.Instances {
		if l := other.links[instance.ID]; l != nil {
			do(l)
		}
	}
}

// Close kills all daemons and closes all forwarders.
func (s *Site) Close() {
	for _, i := range s.Instances {
		if i.Running() {
			i.Kill()
		}
		for _, l := range i.links {
			l.Close()
		}
	}
}

// AnnouncementAddresses returns the addresses on which the instances receive announcements of backend servers.
func (s *Site) AnnouncementAddresses() []string {
	out := make([]string, 0, len(s.Instances))
	for _, i := range s.Instances {
		out = append(out, i.Announcements)
	}
	return out
}

// RunCtl runs clementinectl against the control instances and returns its combined output and exit code.
func (s *Site) RunCtl(args ...string) (string, int) {
	var servers []string
	for _, i := range s.Instances {
		if i.Control {
			servers = append(servers, "http://"+i.Operators)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	cmd := exec.CommandContext(ctx, s.config.Binaries.Ctl, args...)
	cmd.Env = append(os.Environ(), "CLEMENTINECTL_SERVER="+strings.Join(servers, ","), "CLEMENTINECTL_TOKEN="+OperatorToken)
	out, _ := cmd.CombinedOutput()
	return string(out), cmd.ProcessState.ExitCode()
}

// ApplyCatalogue applies a catalogue through the control instances in turn, and retries until timeout, because a site
// that is starting refuses changes.
func (s *Site) ApplyCatalogue(c *catalogue.Catalogue, timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for i := 0; ; i++ {
		err := s.ApplyAt(s.Instances[i%s.config.ControlCount], c)
		if err == nil || time.Now().After(deadline) {
			return err
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// ApplyAt applies a catalogue through the given control instance without retries.
func (s *Site) ApplyAt(instance *Instance, c *catalogue.Catalogue) error {
	var current control.CatalogueReply
	if err := s.callOperatorAPI(http.MethodGet, instance, "/v1/catalogue", nil, &current); err != nil {
		return err
	}
	change := control.ApplyCatalogueRequest{
		ChangeBase: control.ChangeBase{BaseRevision: current.Revision, RequestID: uuid.NewString(), By: "site"}, Catalogue: *c,
	}
	return s.callOperatorAPI(http.MethodPut, instance, "/v1/catalogue", change, &control.ChangeReply{})
}

// SetOut takes an availability zone ("zones/north") or a backend server ("servers/dear-north") out of service or brings
// it back, through the given control instance.
func (s *Site) SetOut(instance *Instance, subject string, out bool) error {
	status, err := s.Status(instance)
	if err != nil {
		return err
	}
	order := control.OrderRequest{
		ChangeBase: control.ChangeBase{BaseRevision: status.Revision, RequestID: uuid.NewString(), By: "site"},
		Out:        out, Force: true,
	}
	return s.callOperatorAPI(http.MethodPost, instance, "/v1/"+subject, order, &control.ChangeReply{})
}

// OrderLatest sends a copy of an order that applies to the latest revision to the given control instance and closes the connection after
// patience, as callers do that move on to another instance. It returns the HTTP status, or 0 if no answer came.
func (s *Site) OrderLatest(instance *Instance, subject string, out bool, patience time.Duration) (int, error) {
	order := control.OrderRequest{ChangeBase: control.ChangeBase{RequestID: uuid.NewString(), By: "site", Latest: true}, Out: out, Force: true}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	resp, err := s.sendOperatorRequest(ctx, http.MethodPost, instance, "/v1/"+subject, order)
	if errors.Is(err, context.DeadlineExceeded) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, Error.Wrap(resp.Body.Close())
}

// TakeOutAt takes a zone or backend server out of service, based on the given revision, and returns the HTTP status. If
// requestID is empty, it generates one.
func (s *Site) TakeOutAt(instance *Instance, subject string, baseRevision uint64, requestID string) (int, error) {
	if requestID == "" {
		requestID = uuid.NewString()
	}
	order := control.OrderRequest{
		ChangeBase: control.ChangeBase{BaseRevision: baseRevision, RequestID: requestID, By: requestID}, Out: true, Force: true,
	}
	resp, err := s.sendOperatorRequest(context.Background(), http.MethodPost, instance, "/v1/"+subject, order)
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, Error.Wrap(resp.Body.Close())
}

// Status returns the status of the whole system as the given control instance reports it.
func (s *Site) Status(instance *Instance) (*control.StatusReply, error) {
	status := &control.StatusReply{}
	return status, s.callOperatorAPI(http.MethodGet, instance, "/v1/status", nil, status)
}

// Voters maps the id of each active voter to its ReplicaStatus.Node, the id with the data folder's generation.
func Voters(status *control.StatusReply) map[string]string {
	out := map[string]string{}
	for _, r := range status.Replicas {
		if r.Voter && r.Active {
			out[r.ID] = r.Node
		}
	}
	return out
}

// Servers returns the backend servers as the operator API shows them.
func (s *Site) Servers(instance *Instance) ([]control.ServerStatus, error) {
	var servers []control.ServerStatus
	err := s.callOperatorAPI(http.MethodGet, instance, "/v1/servers", nil, &servers)
	return servers, err
}

// Rollouts returns the progress of each roll-out.
func (s *Site) Rollouts(instance *Instance) ([]control.RolloutProgress, error) {
	var progress []control.RolloutProgress
	err := s.callOperatorAPI(http.MethodGet, instance, "/v1/rollouts", nil, &progress)
	return progress, err
}

// Timeline returns up to 5000 events of each of the given kinds, or of all kinds together if none is given, from all
// processes in the order of their stamps.
func (s *Site) Timeline(instance *Instance, kinds ...string) ([]event.Event, error) {
	if len(kinds) == 0 {
		kinds = []string{""}
	}
	var all []event.Event
	for _, kind := range kinds {
		var merged control.TimelineMerge
		if err := s.callOperatorAPI(http.MethodGet, instance, "/v1/timeline?limit=5000&kind="+kind, nil, &merged); err != nil {
			return nil, err
		}
		all = append(all, merged.Events...)
	}
	slices.SortFunc(all, func(a, b event.Event) int { return cmp.Compare(a.Stamp, b.Stamp) })
	return all, nil
}

// Bills returns the number and the sums of the bills of each workspace.
func (s *Site) Bills(instance *Instance) ([]control.WorkspaceBill, error) {
	var bills []control.WorkspaceBill
	err := s.callOperatorAPI(http.MethodGet, instance, "/v1/bills", nil, &bills)
	return bills, err
}

// callOperatorAPI sends a request to the operator API of an instance and decodes the JSON answer into out. A status other
// than 200 is an error.
func (s *Site) callOperatorAPI(method string, instance *Instance, path string, in, out any) error {
	resp, err := s.sendOperatorRequest(context.Background(), method, instance, path, in)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(resp.Body)
		return Error.New("%s %s: %d: %s", method, path, resp.StatusCode, body)
	}
	return Error.Wrap(json.NewDecoder(resp.Body).Decode(out))
}

// sendOperatorRequest sends a request with the operators' token to an instance. The caller closes the response body.
func (s *Site) sendOperatorRequest(ctx context.Context, method string, instance *Instance, path string, in any) (*http.Response, error) {
	raw, err := json.Marshal(in)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+instance.Operators+path, bytes.NewReader(raw))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	req.Header.Set("Authorization", "Bearer "+OperatorToken)
	resp, err := s.client.Do(req)
	return resp, Error.Wrap(err)
}

// Answer is an HTTP response with its whole body.
type Answer struct {
	Status int
	Header http.Header
	Body   string
}

// Post sends a JSON body to the caller listener of an instance, with a caller key and pairs of header names and values.
func (s *Site) Post(instance *Instance, path, key, body string, headers ...string) (*Answer, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+instance.Callers+path, strings.NewReader(body))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	// With GetBody, the HTTP client may retry a request with an Idempotency-Key by itself.
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Content-Type", "application/json")
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	return &Answer{Status: resp.StatusCode, Header: resp.Header, Body: string(raw)}, Error.Wrap(err)
}

func newReadinessClient() *http.Client {
	return &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
}

// Ready reports whether the instance answers /readyz with 200.
func (s *Site) Ready(instance *Instance) bool {
	resp, err := s.readiness.Get("http://" + instance.Callers + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// WaitReady waits until each running instance is ready. The timeout is for all instances together.
func (s *Site) WaitReady(timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for _, i := range s.Instances {
		for i.Running() && !s.Ready(i) {
			if time.Now().After(deadline) {
				return Error.New("%s is not ready after %s", i.ID, timeout)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}
