package emulator

import (
	"math"
	"time"
)

// EngineConfig describes an engine. The defaults of Normal are those of the users' sheets.
type EngineConfig struct {
	// Slots is the number of requests that run at once.
	Slots int
	// Step is the time of one token of each running request, StepPerRequest what each of them adds.
	Step, StepPerRequest time.Duration
	// TokensPerMilli is the number of prompt tokens read in a millisecond, Chunk the number read between two tokens.
	TokensPerMilli float64
	Chunk          int
	// PairsPerMilli is the number of pairs of a new token and a token before it, in millions, that are read in a millisecond.
	PairsPerMilli float64
	// Stride is the number of tokens in one event of a stream.
	Stride int
	// Memory is the number of tokens that running requests and kept parts may hold.
	Memory int
	// ReportLag is the age of the load that an answer states.
	ReportLag time.Duration
}

// Normal is an engine of the users' larger site that runs its largest model.
var Normal = EngineConfig{
	Slots: 64, Step: 10 * time.Millisecond, StepPerRequest: 250 * time.Microsecond, TokensPerMilli: 42, Chunk: 2048, PairsPerMilli: 1.3,
	Stride: 7, Memory: 478_690, ReportLag: 100 * time.Millisecond,
}

// engine runs requests in steps: a step reads one chunk of a prompt and makes one token of each request that was read.
type engine struct {
	id     string
	cfg    EngineConfig
	slow   float64
	site   *Site
	busy   bool
	gone   bool
	queue  []*run
	active []*run
	// parts holds the parts of prompts that are kept, with their last use and size.
	parts map[string]keptPart
	held  int
	// reports are the loads of the last ReportLag.
	reports []report
}

type keptPart struct {
	used   time.Duration
	tokens int
}

type report struct {
	at               time.Duration
	running, waiting int
}

// run is a request at an engine.
type run struct {
	request *Request
	// unread are the prompt tokens still to be read, read those that are in memory.
	unread, read int
	made         int
	first, last  time.Duration
	pause        time.Duration
	began        func(now time.Duration, running, waiting int)
	paced        func(now, gap time.Duration)
	ended        func(now time.Duration, ok bool)
}

func (e *engine) add(r *run) {
	e.queue = append(e.queue, r)
	if !e.busy {
		e.busy = true
		e.site.at(e.site.now, e.step)
	}
}

// admit moves waiting requests into the batch while slots and memory are free.
func (e *engine) admit() {
	for len(e.queue) > 0 && len(e.active) < e.cfg.Slots {
		r := e.queue[0]
		need := r.request.PromptTokens + r.request.OutputTokens
		if len(e.active) > 0 && e.running()+need > e.cfg.Memory {
			return
		}
		e.queue = e.queue[1:]
		r.read = e.reuse(r.request)
		r.unread = max(r.request.PromptTokens-r.read, 1)
		e.site.result.TokensRead += r.unread
		e.active = append(e.active, r)
	}
}

// running returns the tokens that the batch holds.
func (e *engine) running() int {
	sum := 0
	for _, r := range e.active {
		sum += r.request.PromptTokens + r.request.OutputTokens
	}
	return sum
}

// reuse returns the tokens at the beginning of the prompt that are kept, and keeps its parts.
func (e *engine) reuse(r *Request) int {
	known, kept := 0, true
	for _, p := range r.Parts {
		part, ok := e.parts[p.ID]
		kept = kept && ok
		if kept {
			known += p.Tokens
		}
		if !ok {
			e.held += p.Tokens
		}
		e.parts[p.ID] = keptPart{used: e.site.now, tokens: max(part.tokens, p.Tokens)}
	}
	for e.held > e.cfg.Memory-e.running() && len(e.parts) > 0 {
		e.dropOldest()
	}
	return known
}

func (e *engine) dropOldest() {
	oldest, at := "", time.Duration(math.MaxInt64)
	for id, p := range e.parts {
		if p.used < at || p.used == at && id < oldest {
			oldest, at = id, p.used
		}
	}
	e.held -= e.parts[oldest].tokens
	delete(e.parts, oldest)
}

// step does one step and plans the next one.
func (e *engine) step() {
	if e.gone {
		e.fail()
		return
	}
	e.admit()
	e.note()
	if len(e.active) == 0 {
		e.busy = false
		return
	}
	took := e.cfg.Step + time.Duration(len(e.active))*e.cfg.StepPerRequest
	var reading *run
	for _, r := range e.active {
		if r.unread > 0 {
			reading = r
			break
		}
	}
	if reading != nil {
		chunk := min(e.cfg.Chunk, reading.unread)
		pairs := float64(chunk) * (float64(reading.read) + float64(chunk)/2) / 1e6
		took += time.Duration((float64(chunk)/e.cfg.TokensPerMilli + pairs/e.cfg.PairsPerMilli) * float64(time.Millisecond))
		reading.read, reading.unread = reading.read+chunk, reading.unread-chunk
	}
	took = time.Duration(float64(took) * e.slow)
	e.site.at(e.site.now+took, func() {
		e.makeTokens()
		e.step()
	})
}

// makeTokens makes one token of each request whose prompt is read.
func (e *engine) makeTokens() {
	rest := e.active[:0]
	for _, r := range e.active {
		if r.unread > 0 {
			rest = append(rest, r)
			continue
		}
		r.made++
		if r.made == 1 || r.made%e.cfg.Stride == 0 || r.made >= r.request.OutputTokens {
			e.event(r)
		}
		if r.made < r.request.OutputTokens {
			rest = append(rest, r)
			continue
		}
		r.ended(e.site.now, true)
	}
	e.active = rest
}

func (e *engine) event(r *run) {
	now := e.site.now
	if r.made == 1 {
		r.first = now
		stated := e.stated()
		r.began(now, stated.running, stated.waiting)
	} else {
		r.pause = max(r.pause, now-r.last)
		r.paced(now, now-r.last)
	}
	r.last = now
}

// note keeps the load for answers that state it later.
func (e *engine) note() {
	e.reports = append(e.reports, report{e.site.now, len(e.active), len(e.queue)})
	for len(e.reports) > 1 && e.reports[1].at <= e.site.now-e.cfg.ReportLag {
		e.reports = e.reports[1:]
	}
}

// stated is the load as an answer states it: that of ReportLag before.
func (e *engine) stated() report {
	if len(e.reports) == 0 {
		return report{}
	}
	return e.reports[0]
}

// fail ends each request of an engine that is gone.
func (e *engine) fail() {
	for _, r := range append(e.active, e.queue...) {
		r.ended(e.site.now, false)
	}
	e.active, e.queue, e.busy = nil, nil, false
	clear(e.parts)
	e.held = 0
}
