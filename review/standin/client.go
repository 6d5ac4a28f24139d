package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	apiKey   = "n2ctnfzs989anu6wsjnb"
	hostName = "ficu95.example"
)

// manifest returns a manifest with one route of the kind for each service. coldPerS applies to all of them.
func manifest(version int, kind string, services []string, coldPerS float64) map[string]any {
	var routes, described []any
	for _, s := range services {
		routes = append(routes, map[string]any{
			"name": "r-" + s, "host": hostName, names["prefix"]: "/" + s + "/", "kind": kind, "timeoutMs": 1200, names["target time"]: 150,
			"priority": 0, "service": s, "maxAttempts": 2, "allowAnonymous": false, "sticky": false, "resumable": false,
		})
		described = append(described, map[string]any{
			"name": s, "healthPath": "/health", "maxConnections": 370, "protocol": "h1", "tls": false, "coldStartS": 3.0, "coldPerS": coldPerS,
		})
	}
	return map[string]any{
		"version": version, "routes": routes, "services": described,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "hule930", names["keys"]: []any{apiKey}, "priority": 1}},
	}
}

// operator sends orders to the control nodes, one after the other, until one gives a clear answer.
type operator struct {
	record   *record
	controls func() []string
}

func (o *operator) order(method, path string, body any, limit time.Duration) (int, []byte) {
	pause, until := 50*time.Millisecond, time.Now().Add(limit)
	for {
		addresses := o.controls()
		rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
		for _, address := range addresses {
			status, text := call(method, "http://"+address+path, body, time.Second)
			o.record.add("operator: %s %s to %s: %d", method, path, address, status)
			if status/100 == 2 || status == 400 || status == 404 || status == 409 || status == 412 || status == 413 || status == 422 {
				return status, text
			}
			if time.Now().After(until) {
				return status, text
			}
		}
		time.Sleep(pause)
		pause = min(2*pause, time.Second)
	}
}

// readVersion returns the version of the manifest that a node gives back, 0 if none did within the limit.
func (o *operator) readVersion(limit time.Duration) int {
	status, text := o.order(http.MethodGet, names["get"], nil, limit)
	current := struct{ Version int }{}
	if status != http.StatusOK || json.Unmarshal(text, &current) != nil {
		return 0
	}
	return current.Version
}

// result is a client's request and its answer. status is 0 if the channel ended without one.
type result struct {
	sent   time.Time
	id     string
	status int
	body   string
}

// load sends requests for a service at a rate to the front addresses in turn.
type load struct {
	record  *record
	service string
	fronts  []string
	client  *http.Client
	stop    context.CancelFunc
	done    sync.WaitGroup

	mu      sync.Mutex
	results []result
}

func startLoad(rec *record, service string, fronts []string, perSecond float64) *load {
	ctx, stop := context.WithCancel(context.Background())
	l := &load{record: rec, service: service, fronts: fronts, stop: stop, client: &http.Client{Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, MaxIdleConnsPerHost: 64, DisableCompression: true,
	}}}
	l.done.Go(func() {
		next := time.Now()
		for n := 0; ctx.Err() == nil; n++ {
			l.done.Go(func() { l.send(n) })
			next = next.Add(time.Duration(float64(time.Second) / perSecond))
			time.Sleep(time.Until(next))
		}
	})
	return l
}

func (l *load) send(n int) {
	const wait = 2500 * time.Millisecond
	r := result{id: fmt.Sprintf("%016x", rand.Uint64()), sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	url := fmt.Sprintf("http://%s/%s/x%d", l.fronts[n%len(l.fronts)], l.service, n)
	request, _ := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader("order "+r.id))
	request.Host = hostName
	request.Header.Set(names["request id"], r.id)
	request.Header.Set(names["deadline"], fmt.Sprint(wait.Milliseconds()))
	request.Header.Set("Authorization", "Bearer "+apiKey)
	l.record.addAt(r.sent, "client sends %s for %s to %s", r.id, l.service, l.fronts[n%len(l.fronts)])
	if answer, err := l.client.Do(request); err == nil {
		text, err := io.ReadAll(answer.Body)
		_ = answer.Body.Close()
		if err == nil {
			r.status, r.body = answer.StatusCode, strings.TrimSpace(string(text))
		}
	}
	l.record.add("client gets %d for %s: %s", r.status, r.id, r.body)
	l.mu.Lock()
	l.results = append(l.results, r)
	l.mu.Unlock()
}

func (l *load) end() {
	l.stop()
	l.done.Wait()
}

// served returns how many of the requests that were sent after from and before to got a success, and how many were sent.
func (l *load) served(from, to time.Time) (ok, all int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.results {
		if r.sent.After(from) && r.sent.Before(to) {
			all++
			if r.status/100 == 2 {
				ok++
			}
		}
	}
	return ok, all
}
