package controlstate

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"clementinetray/api/control"
)

const (
	// MaxCrashRecords and CrashTTL bound crash records; CrashTTL counts from the last new crash.
	MaxCrashRecords = 10_000
	CrashTTL        = 24 * time.Hour
	// MaxCrashPairs bounds the crashed (backend server, boot) pairs that are kept for one record.
	MaxCrashPairs = 16
	// MaxReportedParts bounds the prompt parts of one report, and MaxPartLength the length of one, in bytes.
	MaxReportedParts = 32
	MaxPartLength    = 128
	// PartClearance is how long reports on a prompt part don't count after answers with it were seen to begin.
	PartClearance = 15 * time.Second
	// PartCrashTTL counts from the last new crash of a prompt part. It is shorter than CrashTTL, as many requests share a part.
	PartCrashTTL = time.Hour
	// partPrefix begins the fingerprint under which the crashes of a prompt part are recorded and shown to operators.
	partPrefix = "part:"
)

// crashRecord holds the boots of backend servers that crashed while running requests of one fingerprint, or requests with one
// prompt part.
type crashRecord struct {
	Fingerprint string
	Pairs       []crashPair
	// Common lists, for a prompt part, the parts that all reported requests with it had. LastMillis is the time of the last new
	// crash, and ClearedMillis that of the last report of answers with the part, both in Unix milliseconds.
	Common                    []string
	LastMillis, ClearedMillis int64
}

type crashPair struct{ BackendServer, Boot string }

// addPair adds a crash and reports whether it is a new one.
func (r *crashRecord) addPair(pair crashPair) bool {
	if slices.Contains(r.Pairs, pair) || len(r.Pairs) >= MaxCrashPairs {
		return false
	}
	r.Pairs = append(r.Pairs, pair)
	return true
}

// part returns the prompt part of the record; false if it is the record of a request.
func (r *crashRecord) part() (string, bool) { return strings.CutPrefix(r.Fingerprint, partPrefix) }

func (s *State) recordCrash(c *control.ReportCrashRequest) any {
	pair := crashPair{c.BackendServer, c.Boot}
	r, added := s.addCrash(c.Fingerprint, pair)
	if r == nil {
		return control.ErrTableFull.New("%d requests have crash records", s.crashes.len())
	}
	reply := control.ReportCrashReply{Crashes: len(r.Pairs)}
	for _, part := range reportedParts(c.Parts) {
		changed := s.recordPartCrash(part, pair, c.Parts)
		added = added || changed
	}
	if added {
		s.publishQuarantine()
	}
	for _, part := range c.Parts {
		if quarantined, ok := s.quarantine.Parts[part]; ok {
			if reply.Parts == nil {
				reply.Parts = map[string]control.QuarantinedPart{}
			}
			reply.Parts[part] = quarantined
		}
	}
	return reply
}

// reportedParts returns the parts that are recorded: at most MaxReportedParts of bounded length.
func reportedParts(parts []string) []string {
	kept := slices.DeleteFunc(slices.Clone(parts), func(part string) bool { return part == "" || len(part) > MaxPartLength })
	return kept[:min(len(kept), MaxReportedParts)]
}

// recordPartCrash records a crash of a part and reports whether that changes the quarantine. A full table records no more parts,
// as the requests themselves are recorded first.
func (s *State) recordPartCrash(part string, pair crashPair, together []string) bool {
	if known := s.crashes.get(keyOf(partPrefix + part)); known != nil && s.nowMillis-known.ClearedMillis < PartClearance.Milliseconds() {
		return false
	}
	r, added := s.addCrash(partPrefix+part, pair)
	if r == nil {
		return false
	}
	before := len(r.Common)
	if r.Common == nil {
		r.Common = reportedParts(together)
	} else {
		r.Common = slices.DeleteFunc(slices.Clone(r.Common), func(p string) bool { return !slices.Contains(together, p) })
	}
	return added || len(r.Common) != before
}

// addCrash adds a crash to the record of a fingerprint. The record is nil if the table is full.
func (s *State) addCrash(fingerprint string, pair crashPair) (r *crashRecord, added bool) {
	k := keyOf(fingerprint)
	if r = s.crashes.get(k); r == nil {
		if r = s.crashes.put(k, crashRecord{Fingerprint: fingerprint}, s.nowMillis); r == nil {
			return nil, false
		}
	}
	if added = r.addPair(pair); added {
		r.LastMillis = s.nowMillis
		s.crashes.touch(k, s.nowMillis)
	}
	return r, added
}

// clearParts forgets the crashes of prompt parts. Parts without a record need none.
func (s *State) clearParts(c *control.ClearPartsRequest) {
	changed := false
	for _, part := range c.Parts {
		if r := s.crashes.get(keyOf(partPrefix + part)); r != nil {
			r.Pairs, r.Common, r.ClearedMillis = nil, nil, s.nowMillis
			changed = true
		}
	}
	if changed {
		s.publishQuarantine()
	}
}

// isPartExpired reports whether the last crash of a prompt part is too long ago to count.
func (s *State) isPartExpired(r *crashRecord) bool {
	return s.nowMillis-r.LastMillis >= PartCrashTTL.Milliseconds()
}

// hasExpiredPart reports whether a quarantined part has expired.
func (s *State) hasExpiredPart() bool {
	for part := range s.quarantine.Parts {
		if r := s.crashes.get(keyOf(partPrefix + part)); r == nil || s.isPartExpired(r) {
			return true
		}
	}
	return false
}

// publishQuarantine sets the quarantine section from the records.
func (s *State) publishQuarantine() {
	s.revision++
	s.quarantine = s.quarantineAt(s.revision)
}

func (s *State) quarantineAt(revision uint64) *control.Quarantine {
	q := &control.Quarantine{ModRevision: revision, Crashes: make(map[string]int, s.crashes.len())}
	var parts []*crashRecord
	s.crashes.each(func(_ tableKey, r *crashRecord, _ int64) {
		_, isPart := r.part()
		switch {
		case !isPart:
			q.Crashes[r.Fingerprint] = len(r.Pairs)
		case len(r.Pairs) >= control.QuarantineCrashes && !s.isPartExpired(r):
			parts = append(parts, r)
		}
	})
	q.Parts = findCauses(parts)
	return q
}

// findCauses returns the parts that explain the crashes. The part with the most crashes comes first; each further one needs
// QuarantineCrashes that none before it explains, because requests with other parts run on each backend server that crashes.
func findCauses(parts []*crashRecord) map[string]control.QuarantinedPart {
	slices.SortFunc(parts, func(a, b *crashRecord) int {
		return cmp.Or(cmp.Compare(len(b.Pairs), len(a.Pairs)), cmp.Compare(len(a.Common), len(b.Common)), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	var causes map[string]control.QuarantinedPart
	explained := map[crashPair]bool{}
	for _, r := range parts {
		unexplained := slices.DeleteFunc(slices.Clone(r.Pairs), func(pair crashPair) bool { return explained[pair] })
		if len(unexplained) < control.QuarantineCrashes {
			continue
		}
		for _, pair := range unexplained {
			explained[pair] = true
		}
		if causes == nil {
			causes = map[string]control.QuarantinedPart{}
		}
		part, _ := r.part()
		causes[part] = control.QuarantinedPart{Crashes: len(unexplained), Common: r.Common}
	}
	return causes
}

// QuarantineEntries returns every fingerprint and prompt part with crashes, sorted.
func (s *State) QuarantineEntries() []control.QuarantineEntry {
	s.mu.RLock()
	defer s.mu.RUnlock()
	entries := []control.QuarantineEntry{}
	s.crashes.each(func(_ tableKey, r *crashRecord, _ int64) {
		if len(r.Pairs) == 0 {
			return
		}
		e := control.QuarantineEntry{
			Fingerprint: r.Fingerprint, Crashes: len(r.Pairs), Stopped: len(r.Pairs) >= control.QuarantineCrashes, Parts: r.Common,
		}
		if part, ok := r.part(); ok {
			_, e.Stopped = s.quarantine.Parts[part]
		}
		for _, p := range r.Pairs {
			e.Servers = append(e.Servers, p.BackendServer)
		}
		entries = append(entries, e)
	})
	slices.SortFunc(entries, func(a, b control.QuarantineEntry) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return entries
}
