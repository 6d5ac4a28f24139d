package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// record is the file that says what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, began: time.Now()}, err
}

// add writes one line with the time since the start of the script.
func (r *record) add(layout string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(layout, args...))
}

// machine is one machine of the site with the process of its role.
type machine struct {
	s       *site
	name    string
	zone    string
	ip      string
	front   bool
	fields  map[string]any
	file    string
	command []string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	leads  bool
}

// site is a small deployment on loopback addresses. It stands in for the platform, which writes the settings and starts and
// stops the processes.
type site struct {
	rec      *record
	folder   string
	template string
	cores    []*machine
	fronts   []*machine
	// Ports are the same on all machines.
	frontPort, readyPort, controlPort, internalPort int
	bounds                                          map[string]any
	// ended ends when the site is stopped.
	ended context.Context
	end   context.CancelFunc
}

// The program runs in the top folder of the repository, as the platform starts it.
func newSite(rec *record, coreZones, frontZones []string) (*site, error) {
	template, err := os.ReadFile("deploy/settings.ini")
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	s := &site{rec: rec, folder: folder, template: string(template)}
	s.ended, s.end = context.WithCancel(context.Background())
	net3 := 16 + os.Getpid()%200
	for i, zone := range coreZones {
		s.cores = append(s.cores, &machine{s: s, name: fmt.Sprintf("core-%s-%d", zone, i+1), zone: zone, ip: fmt.Sprintf("127.%d.1.%d", net3, i+1)})
	}
	for i, zone := range frontZones {
		s.fronts = append(s.fronts, &machine{s: s, name: fmt.Sprintf("front-%s-%d", zone, i+1), zone: zone, ip: fmt.Sprintf("127.%d.2.%d", net3, i+1), front: true})
	}
	if err := s.choosePorts(); err != nil {
		return nil, err
	}
	s.bounds = map[string]any{
		"seedLagS": 3, "addrReuseS": 2, "contactMs": 3000, "ackTimeoutMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 8, "lossSlackMs": 200,
		"configApplyMs": 2000, "rollbackSlackMs": 250, "maxStretchMs": 5000, "strictRevoke": true, "revokeMs": 5000, "retryBudgetRatio": 0.9,
		"budgetWindowS": 10, "retryBudgetSlack": 58, "exposureShare": 0.15, "exposureSlack": 30, "rollbackMs": 5000, "coldOvershoot": 1.5,
		"coldSlack": 5, "evacuateMs": 5000, "recoveryS": 12, "passMs": 120, "reuseWindowS": 8.2, "sessionS": 5,
	}
	return s, nil
}

// choosePorts chooses ports that are free on all machines.
func (s *site) choosePorts() error {
	for base := 21000 + os.Getpid()%8000; base < 32000; base += 40 {
		if s.portsFree(base) {
			s.frontPort, s.readyPort, s.controlPort, s.internalPort = base, base+1, base+2, base+10
			return nil
		}
	}
	return errors.New("no free ports")
}

func (s *site) portsFree(base int) bool {
	for _, m := range append(append([]*machine{}, s.cores...), s.fronts...) {
		for port := base; port < base+26; port++ {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", m.ip, port))
			if err != nil {
				return false
			}
			l.Close()
		}
	}
	return true
}

func (s *site) seeds() []any {
	var out []any
	for _, m := range s.cores[:min(3, len(s.cores))] {
		out = append(out, fmt.Sprintf("%s:%d", m.ip, s.controlPort))
	}
	return out
}

func (s *site) controlAddresses() []string {
	var out []string
	for _, m := range s.cores {
		out = append(out, fmt.Sprintf("%s:%d", m.ip, s.controlPort))
	}
	return out
}

func (m *machine) frontAddress() string { return fmt.Sprintf("%s:%d", m.ip, m.s.frontPort) }
func (m *machine) readyAddress() string { return fmt.Sprintf("%s:%d", m.ip, m.s.readyPort) }
func (m *machine) controlAddress() string {
	return fmt.Sprintf("%s:%d", m.ip, m.s.controlPort)
}

func (m *machine) dataFolder() string { return filepath.Join(m.s.folder, m.name, "data") }

// writeSettings places the settings of the process, as at each of its starts.
func (m *machine) writeSettings(bootstrap bool) error {
	s := m.s
	losses := min(2, (len(s.cores)-1)/2)
	zones := map[string]any{}
	for _, x := range append(append([]*machine{}, s.cores...), s.fronts...) {
		zones[x.zone] = "region"
	}
	fields := map[string]any{
		"nodeName": m.name, "ip": m.ip, "zone": m.zone, "region": "region", "zones": zones,
		"internalPortRange": []any{s.internalPort, s.internalPort + 15}, "seeds": s.seeds(), "bootstrap": bootstrap,
		"discovery": "registration", "entry": "vip", "heartbeatMs": 1200, "configMode": "highest",
		"contracts":      []any{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "places", "rollout"},
		"faultTolerance": map[string]any{"machines": losses, "zones": 1, "regions": 0}, "bounds": s.bounds,
	}
	folder := filepath.Join(s.folder, m.name)
	if m.front {
		fields["machineClass"], fields["role"], fields["serves"], fields["lossCounts"] = "front", "entry", []any{"front"}, false
		fields["listen"] = map[string]any{"front": m.frontAddress(), "ready": m.readyAddress()}
		fields["limits"] = map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": 134, "maxFds": 4100, "linkMbps": 1000, "diskMb": 0}
	} else {
		fields["machineClass"], fields["role"], fields["serves"], fields["lossCounts"] = "core", "control", []any{"control"}, true
		fields["listen"] = map[string]any{"control": m.controlAddress()}
		fields["limits"] = map[string]any{"cpuShare": 0.96, "cores": 1, "memoryMb": 280, "maxFds": 4096, "linkMbps": 1000, "diskMb": 128}
		fields["dataDir"] = m.dataFolder()
		if err := os.MkdirAll(m.dataFolder(), 0o755); err != nil {
			return err
		}
	}
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	// Numbers are rendered as the JSON of the platform's table has them.
	raw, err := json.Marshal(fields)
	if err != nil {
		return err
	}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.UseNumber()
	decoded := map[string]any{}
	if err := decoder.Decode(&decoded); err != nil {
		return err
	}
	m.file = filepath.Join(folder, "boot.json")
	return os.WriteFile(m.file, []byte(render(s.template, decoded)), 0o644)
}

// start starts the process with the command of the deploy file: "target/clementinetray run" and the settings file.
func (m *machine) start(bootstrap bool) error {
	if err := m.writeSettings(bootstrap); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	cmd := exec.Command("target/clementinetray", "run", m.file)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + m.s.folder, "LANG=C", "CLEMENTINETRAY_NODE_FILE=" + m.file}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	cmd.Stderr = cmd.Stdout
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	m.s.rec.add("platform: %s starts, bootstrap = %t", m.name, bootstrap)
	exited := make(chan struct{})
	m.cmd, m.exited = cmd, exited
	log, err := os.OpenFile(filepath.Join(m.s.folder, m.name, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	go func() {
		defer log.Close()
		lines := bufio.NewScanner(out)
		lines.Buffer(make([]byte, 1<<20), 1<<20)
		for lines.Scan() {
			line := lines.Text()
			fmt.Fprintln(log, line)
			if strings.Contains(line, "msg=leadership ") {
				m.mu.Lock()
				m.leads = strings.Contains(line, "leads=true")
				m.mu.Unlock()
			}
		}
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

func (m *machine) signal(sig syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd != nil && m.cmd.Process != nil {
		_ = m.cmd.Process.Signal(sig)
	}
}

// kill kills the process and waits for its end.
func (m *machine) kill() {
	m.mu.Lock()
	cmd, exited := m.cmd, m.exited
	m.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGCONT)
	_ = cmd.Process.Kill()
	<-exited
}

func (m *machine) isLeader() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leads
}

// startAll starts all processes for the first time.
func (s *site) startAll() error {
	for _, m := range append(append([]*machine{}, s.cores...), s.fronts...) {
		if err := m.start(true); err != nil {
			return err
		}
	}
	return nil
}

// leader returns the control process that said last that it leads, by its log. It only selects whom a disruption meets.
func (s *site) leader(timeout time.Duration) *machine {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, m := range s.cores {
			if m.isLeader() {
				return m
			}
		}
	}
	return nil
}

func (s *site) followers() []*machine {
	var out []*machine
	for _, m := range s.cores {
		if !m.isLeader() {
			out = append(out, m)
		}
	}
	return out
}

// stop ends all processes and removes the folder, unless KEEP is set.
func (s *site) stop() {
	s.end()
	var ended sync.WaitGroup
	for _, m := range append(append([]*machine{}, s.cores...), s.fronts...) {
		ended.Add(1)
		go func() {
			defer ended.Done()
			m.kill()
		}()
	}
	ended.Wait()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.folder)
	} else {
		fmt.Println("kept:", s.folder)
	}
}
