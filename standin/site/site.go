// Package site starts the daemons of a small site as separate processes on loopback, with stand-ins around them.
package site

import (
	"bytes"
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
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

// OperatorToken is the operators' token of a site.
const OperatorToken = "operator-token-of-the-small-site"

// Binaries are the paths of the two programs.
type Binaries struct{ Daemon, Ctl string }

// Build compiles the two programs into dir.
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
	// Control and Entry are the numbers of instances with both roles and with the role entry only.
	Control int
	Entry   int
	Zones   []string
	// Links puts a forwarder between each pair of instances, so that they can be cut from each other.
	Links     bool
	RatingURL string
	// MaxViewAge is the setting entry.max_view_age. Default 6s.
	MaxViewAge time.Duration
}

// Instance is one daemon.
type Instance struct {
	ID               string
	AvailabilityZone string
	Control          bool
	Callers          string
	Operators        string
	Peers            string
	Announcements    string
	Metrics          string
	DataDir          string
	Settings         string
	LogFile          string
	// links holds, by replica id, the forwarder from this instance to that replica.
	links   map[string]*link.Link
	process process
}

// Site is a set of running daemons.
type Site struct {
	config    Config
	network   string
	Instances []*Instance
	client    *http.Client
}

// New prepares the settings of a site without starting it.
func New(config Config) (*Site, error) {
	s := &Site{config: config, network: newNetwork(), client: &http.Client{Timeout: 20 * time.Second}}
	if config.MaxViewAge == 0 {
		s.config.MaxViewAge = 6 * time.Second
	}
	if err := os.WriteFile(s.secretFile(), []byte("shared secret of the small site"), 0o600); err != nil {
		return nil, Error.Wrap(err)
	}
	for i := range config.Control + config.Entry {
		instance, err := s.prepare(i)
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

func (s *Site) prepare(i int) (*Instance, error) {
	id := fmt.Sprintf("i%d", i+1)
	dir := filepath.Join(s.config.Dir, id)
	if err := os.MkdirAll(dir, 0o750); err != nil {
		return nil, Error.Wrap(err)
	}
	address := func(port int) string { return fmt.Sprintf("%s.%d:%d", s.network, i+1, port) }
	return &Instance{
		ID: id, AvailabilityZone: s.config.Zones[i%len(s.config.Zones)], Control: i < s.config.Control,
		Callers: address(8001), Operators: address(8002), Peers: address(8003), Announcements: address(8004), Metrics: address(8005),
		DataDir: filepath.Join(dir, "data"), Settings: filepath.Join(dir, "settings.ini"), LogFile: filepath.Join(dir, "log"),
		links: map[string]*link.Link{},
	}, nil
}

// newNetwork returns the first three parts of loopback addresses that no other site uses. Ports of a shared address could be
// taken by another process between their choice and their use.
func newNetwork() string {
	return fmt.Sprintf("127.%d.%d", 1+rand.IntN(254), rand.IntN(256))
}

var settingsTemplate = template.Must(template.New("settings").Parse(`[instance]
id = {{.I.ID}}
availability_zone = {{.I.AvailabilityZone}}
roles = {{if .I.Control}}control, {{end}}entry
{{if .I.Control}}data_dir = {{.I.DataDir}}{{end}}
[listen]
callers = {{.I.Callers}}
peers = {{.I.Peers}}
announcements = {{.I.Announcements}}
metrics = {{.I.Metrics}}
{{if .I.Control}}operators = {{.I.Operators}}{{end}}
[control]
replicas = {{.Replicas}}
bootstrap = {{.Bootstrap}}
[secrets]
peer_secret_file = {{.Secret}}
operator_token_sha256 = {{.Token}}
[entry]
max_view_age = {{.MaxViewAge}}
max_entries = {{.MaxEntries}}
{{if .RatingURL}}[platform]
rating_url = {{.RatingURL}}{{end}}
`))

// WriteSettings writes the settings file of an instance; bootstrap says whether an empty data folder starts a new group.
func (s *Site) WriteSettings(instance *Instance, bootstrap bool) error {
	replicas, err := s.replicaList(instance)
	if err != nil {
		return err
	}
	var out bytes.Buffer
	err = settingsTemplate.Execute(&out, map[string]any{
		"I": instance, "Replicas": replicas, "Bootstrap": bootstrap && instance.Control, "Secret": s.secretFile(),
		"Token": Hash(OperatorToken), "MaxViewAge": s.config.MaxViewAge, "MaxEntries": max(9, len(s.Instances)),
		"RatingURL": s.config.RatingURL,
	})
	if err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(os.WriteFile(instance.Settings, out.Bytes(), 0o600))
}

func (s *Site) replicaList(from *Instance) (string, error) {
	var items []string
	for _, to := range s.Instances {
		if !to.Control {
			continue
		}
		address := to.Peers
		if s.config.Links && to != from {
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

// Start starts each daemon.
func (s *Site) Start() error {
	for _, instance := range s.Instances {
		if err := s.StartInstance(instance); err != nil {
			return err
		}
	}
	return nil
}

// Cut cuts an instance from each control replica and each of them from it, silently.
func (s *Site) Cut(instance *Instance) { s.eachLink(instance, (*link.Link).Cut) }

// CutFrom cuts only what the instance sends to the control replicas and answers to them.
func (s *Site) CutFrom(instance *Instance) {
	for _, l := range instance.links {
		l.CutForth()
	}
	for _, other := range s.Instances {
		if l := other.links[instance.ID]; l != nil {
			l.CutBack()
		}
	}
}

// Heal ends a cut.
func (s *Site) Heal(instance *Instance) { s.eachLink(instance, (*link.Link).Heal) }

func (s *Site) eachLink(instance *Instance, do func(*link.Link)) {
	for _, l := range instance.links {
		do(l)
	}
	for _, other := range s.Instances {
		if l := other.links[instance.ID]; l != nil {
			do(l)
		}
	}
}

// Close ends every daemon and forwarder.
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

// AnnounceTo returns the announcement addresses of all instances.
func (s *Site) AnnounceTo() []string {
	out := make([]string, 0, len(s.Instances))
	for _, i := range s.Instances {
		out = append(out, i.Announcements)
	}
	return out
}

// Ctl runs the operators' tool against the control instances and returns its output and exit code.
func (s *Site) Ctl(args ...string) (string, int) {
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

// ApplyCatalogue applies a catalogue over the operator API, retrying within the given time while the site starts.
func (s *Site) ApplyCatalogue(c *catalogue.Catalogue, within time.Duration) error {
	deadline := time.Now().Add(within)
	for i := 0; ; i++ {
		err := s.ApplyAt(s.Instances[i%s.config.Control], c)
		if err == nil || time.Now().After(deadline) {
			return err
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// ApplyAt applies a catalogue once, through the given control instance.
func (s *Site) ApplyAt(instance *Instance, c *catalogue.Catalogue) error {
	var current control.CatalogueReply
	if err := s.operate(http.MethodGet, instance, "/v1/catalogue", nil, &current); err != nil {
		return err
	}
	change := control.ApplyCatalogueRequest{
		ChangeBase: control.ChangeBase{BaseRevision: current.Revision, RequestID: uuid.NewString(), By: "site"}, Catalogue: *c,
	}
	return s.operate(http.MethodPut, instance, "/v1/catalogue", change, &control.ChangeReply{})
}

// Order takes an availability zone ("zones/north") or a backend server ("servers/dear-north") out of service or brings
// it back, through the given control instance.
func (s *Site) Order(instance *Instance, subject string, out bool) error {
	status, err := s.Status(instance)
	if err != nil {
		return err
	}
	order := control.OrderRequest{
		ChangeBase: control.ChangeBase{BaseRevision: status.Revision, RequestID: uuid.NewString(), By: "site"},
		Out:        out, Force: true,
	}
	return s.operate(http.MethodPost, instance, "/v1/"+subject, order, &control.ChangeReply{})
}

// OrderAt takes something out of service based on a given revision and returns the HTTP status. An empty request id stands
// for a new one.
func (s *Site) OrderAt(instance *Instance, subject string, base uint64, requestID string) (int, error) {
	if requestID == "" {
		requestID = uuid.NewString()
	}
	order := control.OrderRequest{
		ChangeBase: control.ChangeBase{BaseRevision: base, RequestID: requestID, By: requestID}, Out: true, Force: true,
	}
	resp, err := s.request(http.MethodPost, instance, "/v1/"+subject, order)
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, Error.Wrap(resp.Body.Close())
}

// Status returns the state of the whole system as a control instance sees it.
func (s *Site) Status(instance *Instance) (*control.StatusReply, error) {
	status := &control.StatusReply{}
	return status, s.operate(http.MethodGet, instance, "/v1/status", nil, status)
}

// Voters returns the node of each control replica that votes and answers the leader, by replica id.
func Voters(status *control.StatusReply) map[string]string {
	out := map[string]string{}
	for _, r := range status.Replicas {
		if r.Voter && r.Active {
			out[r.ID] = r.Node
		}
	}
	return out
}

// Servers returns the backend servers as operators see them.
func (s *Site) Servers(instance *Instance) ([]control.ServerStatus, error) {
	var servers []control.ServerStatus
	err := s.operate(http.MethodGet, instance, "/v1/servers", nil, &servers)
	return servers, err
}

// Rollouts returns the progress of each roll-out.
func (s *Site) Rollouts(instance *Instance) ([]control.RolloutProgress, error) {
	var progress []control.RolloutProgress
	err := s.operate(http.MethodGet, instance, "/v1/rollouts", nil, &progress)
	return progress, err
}

// Timeline returns the merged time line of the events of the given kinds, or of all.
func (s *Site) Timeline(instance *Instance, kinds ...string) ([]event.Event, error) {
	if len(kinds) == 0 {
		kinds = []string{""}
	}
	var all []event.Event
	for _, kind := range kinds {
		var merged control.TimelineMerge
		if err := s.operate(http.MethodGet, instance, "/v1/timeline?limit=5000&kind="+kind, nil, &merged); err != nil {
			return nil, err
		}
		all = append(all, merged.Events...)
	}
	slices.SortFunc(all, func(a, b event.Event) int { return cmp.Compare(a.Stamp, b.Stamp) })
	return all, nil
}

// Bills returns the bills by workspace.
func (s *Site) Bills(instance *Instance) ([]control.WorkspaceBill, error) {
	var bills []control.WorkspaceBill
	err := s.operate(http.MethodGet, instance, "/v1/bills", nil, &bills)
	return bills, err
}

// operate calls the operator API of an instance.
func (s *Site) operate(method string, instance *Instance, path string, in, out any) error {
	resp, err := s.request(method, instance, path, in)
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

// request sends a request of an operator.
func (s *Site) request(method string, instance *Instance, path string, in any) (*http.Response, error) {
	raw, err := json.Marshal(in)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	req, err := http.NewRequest(method, "http://"+instance.Operators+path, bytes.NewReader(raw))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	req.Header.Set("Authorization", "Bearer "+OperatorToken)
	resp, err := s.client.Do(req)
	return resp, Error.Wrap(err)
}

// Answer is what a caller received.
type Answer struct {
	Status int
	Header http.Header
	Body   string
}

// Post sends a JSON body to a caller listener.
func (s *Site) Post(instance *Instance, path, key, body string, headers ...string) (*Answer, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+instance.Callers+path, strings.NewReader(body))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	// The HTTP client sends a request with an Idempotency-Key again by itself unless it can't get the body again.
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

// Ready reports whether the instance says that it is ready.
func (s *Site) Ready(instance *Instance) bool {
	client := &http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + instance.Callers + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// WaitReady waits until each running instance is ready.
func (s *Site) WaitReady(within time.Duration) error {
	deadline := time.Now().Add(within)
	for _, i := range s.Instances {
		for i.Running() && !s.Ready(i) {
			if time.Now().After(deadline) {
				return Error.New("%s is not ready after %s", i.ID, within)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}
