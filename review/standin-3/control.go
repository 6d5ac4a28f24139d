package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	catchUp  = 4 * time.Second
	recovery = 12 * time.Second
	// tolerated is how many machines with a disk may be lost at once.
	tolerated = 2

	// Times from the loss of the machine that is replaced.
	successorAt  = 1 * time.Second
	leaderLostAt = 2700 * time.Millisecond
	changeAt     = 4800 * time.Millisecond
	secondLostAt = 5400 * time.Millisecond
	// down is how long a machine without power stays away.
	down = 3 * time.Second
	// observed is how long requests are counted once recovery is over.
	observed = 10 * time.Second
)

var gained = regexp.MustCompile(`time=(\S+) .*msg="leadership gained"`)

// leader returns the control node that gained the leadership last, by the logs.
func (s *site) leader() *node {
	var found *node
	newest := ""
	for _, n := range s.by("core") {
		raw, err := os.ReadFile(filepath.Join(s.dir, n.name+".log"))
		if err != nil {
			fail("%v", err)
		}
		for _, m := range gained.FindAllStringSubmatch(string(raw), -1) {
			if m[1] > newest {
				found, newest = n, m[1]
			}
		}
	}
	if found == nil {
		fail("no log names a leader")
	}
	return found
}

// loss is the time in which a machine counts as lost.
type loss struct {
	name     string
	from, to time.Time
}

// mostAtOnce returns how many machines were lost at the same time.
func mostAtOnce(losses []loss) int {
	most := 0
	for _, a := range losses {
		at := 0
		for _, b := range losses {
			if !a.from.Before(b.from) && a.from.Before(b.to) {
				at++
			}
		}
		most = max(most, at)
	}
	return most
}

// withoutPower ends the machine and its disk, and starts it again with an empty one.
func (n *node) withoutPower(outage time.Duration) loss {
	from := time.Now()
	n.kill()
	if err := os.RemoveAll(n.dir); err != nil {
		fail("%v", err)
	}
	n.site.rec.add("%s is without power, its disk is lost", n.name)
	if err := os.MkdirAll(n.dir, 0o755); err != nil {
		fail("%v", err)
	}
	return loss{name: n.name, from: from, to: from.Add(outage + catchUp)}
}

func withVersion(raw []byte, version int) []byte {
	var m map[string]any
	if err := json.Unmarshal(raw, &m); err != nil {
		fail("%v", err)
	}
	m["version"] = version
	out, err := json.Marshal(m)
	if err != nil {
		fail("%v", err)
	}
	return out
}

// readBack asks each control node for the newest manifest until one gives the wanted version or the time is over.
func (s *site) readBack(want int, patience time.Duration) (newest int) {
	nodes := append(slices.Clone(s.by("core")), s.spare)
	for end := time.Now().Add(patience); time.Now().Before(end) && newest < want; time.Sleep(200 * time.Millisecond) {
		for _, n := range nodes {
			if n.cmd == nil || !n.running() {
				continue
			}
			status, raw := call("GET", fmt.Sprintf("%s:%d", n.ip, s.ports.control), wire("read"), nil, time.Second)
			var m struct{ Version int }
			if status == http.StatusOK {
				if err := json.Unmarshal(raw, &m); err != nil {
					fail("%s answers a read with %q", n.name, raw)
				}
			}
			s.rec.add("operator: reads the manifest at %s: %d, version %d", n.name, status, m.Version)
			newest = max(newest, m.Version)
		}
	}
	return newest
}

// removedVoter: a control machine is removed without SIGTERM and replaced. The leader loses its disk, and once the removed machine
// counts no longer another machine loses its disk. TROUBLE=replace leaves out the lost disks, TROUBLE=wipe the replacement.
func removedVoter(s *site, trouble bool) int {
	mode := os.Getenv("TROUBLE")
	replace, wipe := trouble && mode != "wipe", trouble && mode != "replace"
	s.spare = s.newNode("core", len(s.by("core")))
	for k := range servers {
		s.newServer(fmt.Sprintf("i-%d", k+1), "desk", s.zones[k%3], 6, func(v *server, r *request) bool {
			time.Sleep(20 * time.Millisecond)
			r.answer(v, 200, "done "+r.id())
			return true
		})
	}
	s.begin(baseManifest)
	const before, after = 3, 7
	if status := s.putManifest(withVersion(baseManifest, before), 10*time.Second); status != 200 {
		fail("a manifest got status %d before any disruption", status)
	}
	time.Sleep(2 * time.Second)

	first := time.Now()
	var mu sync.Mutex
	var outcomes []*sent
	length := secondLostAt + down + recovery + observed
	var load sync.WaitGroup
	load.Go(func() {
		s.load(12, length, 100*time.Millisecond, func(c *client, i int) *sent {
			return c.do("GET", "/look/lamp", "orders.example", 2500, 4*time.Second, "key-1", "")
		}, func(r *sent) {
			mu.Lock()
			defer mu.Unlock()
			outcomes = append(outcomes, r)
		})
	})

	until := func(d time.Duration) { time.Sleep(time.Until(first.Add(d))) }
	var losses []loss
	leader := s.leader()
	s.rec.add("the leader is %s", leader.name)
	cores := slices.DeleteFunc(s.by("core"), func(n *node) bool { return n == leader })
	// The last one is no seed.
	removed, second := cores[len(cores)-1], cores[0]
	if replace {
		s.rec.add("%s is removed", removed.name)
		from := time.Now()
		removed.kill()
		os.RemoveAll(removed.dir)
		until(successorAt)
		s.spare.start(false)
		losses = append(losses, loss{removed.name, from, time.Now().Add(catchUp)})
	}
	until(leaderLostAt)
	if wipe {
		losses = append(losses, leader.withoutPower(down))
	}
	until(changeAt)
	version := before
	if status := s.putManifest(withVersion(baseManifest, after), 400*time.Millisecond); status == 200 {
		version = after
	}
	until(secondLostAt)
	if wipe {
		losses = append(losses, second.withoutPower(down))
	}
	until(leaderLostAt + down)
	if wipe {
		leader.start(false)
	}
	until(secondLostAt + down)
	if wipe {
		second.start(false)
	}
	s.rec.add("all machines are back; the newest acknowledged version is %d", version)
	for _, l := range losses {
		s.rec.add("%s counts as lost from %.3f to %.3f", l.name, l.from.Sub(s.rec.start).Seconds(), l.to.Sub(s.rec.start).Seconds())
	}
	if n := mostAtOnce(losses); n > tolerated {
		fail("%d machines were lost at once, beside load", n)
	}
	load.Wait()

	back := first.Add(secondLostAt + down + recovery)
	var sentBefore, servedBefore, sentAfter, servedAfter int
	for _, r := range outcomes {
		ok := 0
		if r.status == 200 && r.err == nil && strings.HasPrefix(r.body, "done ") {
			ok = 1
		}
		if r.at.Before(first.Add(successorAt)) {
			sentBefore, servedBefore = sentBefore+1, servedBefore+ok
		}
		if r.at.After(back) {
			sentAfter, servedAfter = sentAfter+1, servedAfter+ok
		}
	}
	newest := s.readBack(version, 6*time.Second)
	line := fmt.Sprintf("acknowledged: version %d; read back: version %d; served: %d of %d in the first second, %d of %d sent later than %v after all were back",
		version, newest, servedBefore, sentBefore, servedAfter, sentAfter, recovery)
	s.rec.add("%s", line)
	fmt.Println(line)
	if newest < version {
		return 1
	}
	return 0
}
