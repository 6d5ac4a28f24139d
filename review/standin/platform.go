package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Values of a small deployment, taken from the sheet of ubspin-router.
const (
	heartbeat   = 1200 * time.Millisecond
	contact     = 3 * time.Second
	drainTime   = 2 * time.Second
	recovery    = 12 * time.Second
	catchUp     = 4 * time.Second
	configApply = 2 * time.Second
)

var zones = []string{"bayangol", "sukhbaatar", "khan-uul", "chingeltei"}

// node is one machine of the system with its one process.
type node struct {
	name, zone, ip, class string
	dataDir, settings     string
	logFile               string
	cmd                   *exec.Cmd
	exited                chan struct{}
	// planned is set once the test itself ends the process.
	planned bool
}

// platform starts the processes of the deploy file on loopback addresses, as DEPLOY.md describes.
type platform struct {
	dir    string
	prefix string
	// Ports are the same on all machines.
	front, ready, control, internal int
	run                             map[string][]string
	template                        string
	cores, fronts                   []*node
	seeds                           []string
	first                           bool
	record                          *record
	mu                              sync.Mutex
}

func newPlatform(rec *record) (*platform, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	p := &platform{dir: dir, record: rec, first: true, run: map[string][]string{}}
	deploy, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	for _, m := range regexp.MustCompile(`(?s)\[roles\.\w+\]\s+run = "([^"]+)"\s+on = "(\w+)".*?template = "([^"]+)"`).FindAllStringSubmatch(string(deploy), -1) {
		p.run[m[2]] = strings.Fields(m[1])
		text, err := os.ReadFile(m[3])
		if err != nil {
			return nil, err
		}
		p.template = string(text)
	}
	if len(p.run) != 2 {
		return nil, errors.New("the deploy file was not understood")
	}
	for range 50 {
		p.prefix = fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250))
		base := 20000 + rand.IntN(10000)
		p.front, p.ready, p.control, p.internal = base, base+1, base+2, base+10
		if p.portsFree() {
			return p, nil
		}
	}
	return nil, errors.New("no free ports")
}

func (p *platform) portsFree() bool {
	for _, port := range []int{p.front, p.ready, p.control, p.internal, p.internal + 1} {
		for host := 1; host < 60; host += 7 {
			l, err := net.Listen("tcp", fmt.Sprintf("%s%d:%d", p.prefix, host, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// addNode makes a machine; its number gives its address.
func (p *platform) addNode(class string, number int) *node {
	zone := zones[(number-1)%len(zones)]
	host := number
	if class == "front" {
		host += 30
	}
	n := &node{name: fmt.Sprintf("%s-%d", class, number), zone: zone, ip: p.prefix + strconv.Itoa(host), class: class}
	n.settings = filepath.Join(p.dir, n.name+".ini")
	n.logFile = filepath.Join(p.dir, n.name+".log")
	if class == "core" {
		n.dataDir = filepath.Join(p.dir, n.name+"-data")
		p.cores = append(p.cores, n)
	} else {
		p.fronts = append(p.fronts, n)
	}
	return n
}

func (p *platform) controlAddress(n *node) string { return fmt.Sprintf("%s:%d", n.ip, p.control) }
func (p *platform) frontAddress(n *node) string   { return fmt.Sprintf("%s:%d", n.ip, p.front) }

// fields returns the settings of a process under the names of DEPLOY.md.
func (p *platform) fields(n *node) map[string]any {
	zoneTable := map[string]any{}
	for _, z := range zones {
		zoneTable[z] = "ulaanbaatar"
	}
	seeds := []any{}
	for _, s := range p.seeds {
		seeds = append(seeds, s)
	}
	f := map[string]any{
		"nodeName": n.name, "machineClass": n.class, "ip": n.ip, "zone": n.zone, "region": "ulaanbaatar", "zones": zoneTable,
		"internalPortRange": []any{p.internal, p.internal + 15}, "seeds": seeds, "bootstrap": p.first, "lossCounts": n.class == "core",
		"heartbeatMs":    heartbeat.Milliseconds(),
		"faultTolerance": map[string]any{"machines": 2, "zones": 1, "regions": 0},
		"bounds": map[string]any{
			"revokeMs": 5000, "retryBudgetRatio": 0.9, "retryBudgetSlack": 58, "exposureShare": 0.15, "graceS": 8,
		},
	}
	if n.class == "core" {
		f["listen"] = map[string]any{"control": p.controlAddress(n)}
		f["dataDir"] = n.dataDir
		f["limits"] = map[string]any{"memoryMb": 280}
	} else {
		f["listen"] = map[string]any{"front": p.frontAddress(n), "ready": fmt.Sprintf("%s:%d", n.ip, p.ready)}
		f["limits"] = map[string]any{"memoryMb": 134}
	}
	return f
}

// start starts the process of a machine with the run line and the template of the deploy file.
func (p *platform) start(n *node) error {
	if n.dataDir != "" {
		if err := os.MkdirAll(n.dataDir, 0o755); err != nil {
			return err
		}
	}
	if err := os.WriteFile(n.settings, []byte(render(p.template, p.fields(n))), 0o644); err != nil {
		return err
	}
	out, err := os.OpenFile(n.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	words := append([]string{}, p.run[n.class]...)
	for i, word := range words {
		if word == "/etc/clementinetray/boot.json" {
			words[i] = n.settings
		}
	}
	cmd := exec.Command(words[0], words[1:]...)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "CLEMENTINETRAY_NODE_FILE=" + n.settings}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	n.cmd, n.exited, n.planned = cmd, make(chan struct{}), false
	p.record.add("process %s started, pid %d", n.name, cmd.Process.Pid)
	go func(done chan struct{}) {
		_ = cmd.Wait()
		_ = out.Close()
		p.mu.Lock()
		planned := n.planned
		p.mu.Unlock()
		p.record.add("process %s ended, by the test: %t", n.name, planned)
		close(done)
	}(n.exited)
	return nil
}

func (p *platform) signal(n *node, s syscall.Signal) {
	p.mu.Lock()
	n.planned = true
	p.mu.Unlock()
	p.record.add("signal %v to %s", s, n.name)
	_ = n.cmd.Process.Signal(s)
}

func (p *platform) kill(n *node) {
	p.signal(n, syscall.SIGKILL)
	<-n.exited
}

func (n *node) running() bool {
	if n.cmd == nil {
		return false
	}
	select {
	case <-n.exited:
		return false
	default:
		return true
	}
}

// startAll starts a whole system for the first time: cores and fronts within 0.3 s, all with the same three seeds.
func (p *platform) startAll(cores, fronts int) error {
	for i := range cores {
		p.addNode("core", i+1)
	}
	for i := range fronts {
		p.addNode("front", i+1)
	}
	for _, n := range p.cores[:min(3, cores)] {
		p.seeds = append(p.seeds, p.controlAddress(n))
	}
	for _, n := range append(append([]*node{}, p.cores...), p.fronts...) {
		if err := p.start(n); err != nil {
			return err
		}
	}
	p.first = false
	return nil
}

// leader returns the control process that says it leads, in the highest term, among those that run.
func (p *platform) leader() *node {
	line := regexp.MustCompile(`msg=leadership .*term=(\d+) .*leads=(true|false)`)
	var best *node
	bestTerm := 0
	for _, n := range p.cores {
		if !n.running() {
			continue
		}
		text, _ := os.ReadFile(n.logFile)
		all := line.FindAllStringSubmatch(string(text), -1)
		if len(all) == 0 || all[len(all)-1][2] != "true" {
			continue
		}
		if term, _ := strconv.Atoi(all[len(all)-1][1]); term > bestTerm {
			best, bestTerm = n, term
		}
	}
	return best
}

// close ends all processes and removes the folder, unless KEEP names a place for the logs.
func (p *platform) close() {
	for _, n := range append(append([]*node{}, p.cores...), p.fronts...) {
		if n.running() {
			p.kill(n)
		}
	}
	if keep := os.Getenv("KEEP"); keep != "" {
		_ = filepath.WalkDir(p.dir, func(path string, d fs.DirEntry, err error) error {
			if err == nil && strings.HasSuffix(path, ".log") {
				if text, err := os.ReadFile(path); err == nil {
					_ = os.WriteFile(filepath.Join(keep, d.Name()), text, 0o644)
				}
			}
			return nil
		})
	}
	_ = os.RemoveAll(p.dir)
}

// render fills in the part of the template language that deploy/settings.ini uses.
func render(text string, fields map[string]any) string {
	section := regexp.MustCompile(`(?s)\{\{([#^])([\w.]+)\}\}`)
	for {
		at := section.FindStringSubmatchIndex(text)
		if at == nil {
			break
		}
		kind, name := text[at[2]:at[3]], text[at[4]:at[5]]
		end := strings.Index(text[at[1]:], "{{/"+name+"}}")
		inner, rest := text[at[1]:at[1]+end], text[at[1]+end+len("{{/"+name+"}}"):]
		value := lookup(fields, name)
		present := value != nil && value != false && value != ""
		if present != (kind == "#") {
			inner = ""
		}
		text = text[:at[0]] + inner + rest
	}
	return regexp.MustCompile(`\{\{([\w.]+)\}\}`).ReplaceAllStringFunc(text, func(m string) string {
		return plain(lookup(fields, m[2:len(m)-2]))
	})
}

func lookup(value any, name string) any {
	for part := range strings.SplitSeq(name, ".") {
		switch v := value.(type) {
		case map[string]any:
			value = v[part]
		case []any:
			i, err := strconv.Atoi(part)
			if err != nil || i >= len(v) {
				return nil
			}
			value = v[i]
		default:
			return nil
		}
	}
	return value
}

func plain(value any) string {
	switch v := value.(type) {
	case nil:
		return ""
	case []any:
		var out []string
		for _, item := range v {
			out = append(out, plain(item))
		}
		return strings.Join(out, ",")
	case map[string]any:
		raw, _ := json.Marshal(v)
		return string(raw)
	}
	return fmt.Sprint(value)
}
