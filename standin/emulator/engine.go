package emulator

import (
	"math"
	"time"
)

// EngineConfig sets the speed and the limits of a simulated model engine.
type EngineConfig struct {
	// Slots is the maximum batch size in requests.
	Slots int
	// StepTime is the fixed part of the duration of a step. Each request of the batch adds StepTimePerRequest.
	StepTime, StepTimePerRequest time.Duration
	// PromptTokensPerMillisecond is the prefill speed. One step prefills at most ChunkTokens.
	PromptTokensPerMillisecond float64
	ChunkTokens                int
	// AttentionMegapairsPerMillisecond is the speed of attention during prefill, in millions of token pairs. A pair
	// consists of a prompt token and an earlier token.
	AttentionMegapairsPerMillisecond float64
	// TokensPerEvent is the number of tokens between two events of a stream. The first and the last token also send an event.
	TokensPerEvent int
	// MemoryTokens is the size of the memory in tokens; the batch and the cached prompt parts share it.
	MemoryTokens int
	// ReportLag is how old the load figures are that an answer reports.
	ReportLag time.Duration
}

// DefaultEngine is the configuration of an engine at the users' larger site that runs the largest model of this site. Its
// values are from the users' data sheets.
var DefaultEngine = EngineConfig{
	Slots: 64, StepTime: 10 * time.Millisecond, StepTimePerRequest: 250 * time.Microsecond, PromptTokensPerMillisecond: 42, ChunkTokens: 2048, AttentionMegapairsPerMillisecond: 1.3,
	TokensPerEvent: 7, MemoryTokens: 478_690, ReportLag: 100 * time.Millisecond,
}

// engine batches requests in steps. Each step prefills one chunk of one prompt and generates one token for each request
// whose prompt has been read.
type engine struct {
	id            string
	cfg           EngineConfig
	slowdown      float64
	sim           *Simulation
	stepScheduled bool
	failing       bool
	queue         []*engineRequest
	active        []*engineRequest
	// cachedParts holds the prompt parts in the prefix cache, by ID.
	cachedParts  map[string]cachedPart
	cachedTokens int
	// loadSamples holds the load samples, oldest first. The first is the load reported in answers now; the others are from the
	// last ReportLag.
	loadSamples []loadSample
}

type cachedPart struct {
	// lastUsedAt is in virtual time.
	lastUsedAt time.Duration
	tokens     int
}

type loadSample struct {
	at               time.Duration
	running, waiting int
}

// engineRequest is a request that an engine has queued or runs.
type engineRequest struct {
	request *Request
	// unreadTokens counts the prompt tokens still to be read, readTokens those in memory.
	unreadTokens, readTokens  int
	generatedTokens           int
	firstEventAt, lastEventAt time.Duration
	longestPause              time.Duration
	onFirstEvent              func(now time.Duration, running, waiting int)
	onNextEvent               func(now, gap time.Duration)
	onEnd                     func(now time.Duration, ok bool)
}

func (e *engine) enqueue(r *engineRequest) {
	e.queue = append(e.queue, r)
	if !e.stepScheduled {
		e.stepScheduled = true
		e.sim.schedule(e.sim.now, e.runStep)
	}
}

// admit moves queued requests into the batch while slots and memory are free.
func (e *engine) admit() {
	for len(e.queue) > 0 && len(e.active) < e.cfg.Slots {
		r := e.queue[0]
		need := r.request.PromptTokens + r.request.OutputTokens
		if len(e.active) > 0 && e.batchTokens()+need > e.cfg.MemoryTokens {
			return
		}
		e.queue = e.queue[1:]
		r.readTokens = e.reusePrefix(r.request)
		r.unreadTokens = max(r.request.PromptTokens-r.readTokens, 1)
		e.sim.result.PromptTokensRead += r.unreadTokens
		e.active = append(e.active, r)
	}
}

// batchTokens returns the number of prompt and output tokens that the batch reserves.
func (e *engine) batchTokens() int {
	sum := 0
	for _, r := range e.active {
		sum += r.request.PromptTokens + r.request.OutputTokens
	}
	return sum
}

// reusePrefix returns the number of tokens of the cached prefix of the prompt and adds all parts of the prompt to the cache.
func (e *engine) reusePrefix(r *Request) int {
	reused, prefixCached := 0, true
	for _, p := range r.Parts {
		part, ok := e.cachedParts[p.ID]
		prefixCached = prefixCached && ok
		if prefixCached {
			reused += p.Tokens
		}
		if !ok {
			e.cachedTokens += p.Tokens
		}
		e.cachedParts[p.ID] = cachedPart{lastUsedAt: e.sim.now, tokens: max(part.tokens, p.Tokens)}
	}
	for e.cachedTokens > e.cfg.MemoryTokens-e.batchTokens() && len(e.cachedParts) > 0 {
		e.evictLeastRecentlyUsed()
	}
	return reused
}

func (e *engine) evictLeastRecentlyUsed() {
	oldest, at := "", time.Duration(math.MaxInt64)
	for id, p := range e.cachedParts {
		if p.lastUsedAt < at || p.lastUsedAt == at && id < oldest {
			oldest, at = id, p.lastUsedAt
		}
	}
	e.cachedTokens -= e.cachedParts[oldest].tokens
	delete(e.cachedParts, oldest)
}

// runStep starts one step and schedules its end, which starts the next one.
func (e *engine) runStep() {
	if e.failing {
		e.failAll()
		return
	}
	e.admit()
	e.recordLoad()
	if len(e.active) == 0 {
		e.stepScheduled = false
		return
	}
	stepTime := e.cfg.StepTime + time.Duration(len(e.active))*e.cfg.StepTimePerRequest
	var prefilling *engineRequest
	for _, r := range e.active {
		if r.unreadTokens > 0 {
			prefilling = r
			break
		}
	}
	if prefilling != nil {
		chunk := min(e.cfg.ChunkTokens, prefilling.unreadTokens)
		megapairs := float64(chunk) * (float64(prefilling.readTokens) + float64(chunk)/2) / 1e6
		stepTime += time.Duration((float64(chunk)/e.cfg.PromptTokensPerMillisecond + megapairs/e.cfg.AttentionMegapairsPerMillisecond) * float64(time.Millisecond))
		prefilling.readTokens, prefilling.unreadTokens = prefilling.readTokens+chunk, prefilling.unreadTokens-chunk
	}
	stepTime = time.Duration(float64(stepTime) * e.slowdown)
	e.sim.schedule(e.sim.now+stepTime, func() {
		e.generateTokens()
		e.runStep()
	})
}

// generateTokens adds one token to each request whose prompt has been read.
func (e *engine) generateTokens() {
	unfinished := e.active[:0]
	for _, r := range e.active {
		if r.unreadTokens > 0 {
			unfinished = append(unfinished, r)
			continue
		}
		r.generatedTokens++
		if r.generatedTokens == 1 || r.generatedTokens%e.cfg.TokensPerEvent == 0 || r.generatedTokens >= r.request.OutputTokens {
			e.sendEvent(r)
		}
		if r.generatedTokens < r.request.OutputTokens {
			unfinished = append(unfinished, r)
			continue
		}
		r.onEnd(e.sim.now, true)
	}
	e.active = unfinished
}

func (e *engine) sendEvent(r *engineRequest) {
	now := e.sim.now
	if r.generatedTokens == 1 {
		r.firstEventAt = now
		load := e.reportedLoad()
		r.onFirstEvent(now, load.running, load.waiting)
	} else {
		r.longestPause = max(r.longestPause, now-r.lastEventAt)
		r.onNextEvent(now, now-r.lastEventAt)
	}
	r.lastEventAt = now
}

// recordLoad records the load for later answers and drops samples that are too old to be reported.
func (e *engine) recordLoad() {
	e.loadSamples = append(e.loadSamples, loadSample{e.sim.now, len(e.active), len(e.queue)})
	for len(e.loadSamples) > 1 && e.loadSamples[1].at <= e.sim.now-e.cfg.ReportLag {
		e.loadSamples = e.loadSamples[1:]
	}
}

// reportedLoad returns the load that the engine reports in its answers: its load ReportLag earlier.
func (e *engine) reportedLoad() loadSample {
	if len(e.loadSamples) == 0 {
		return loadSample{}
	}
	return e.loadSamples[0]
}

// failAll ends all requests of the engine as failed and empties its cache.
func (e *engine) failAll() {
	for _, r := range append(e.active, e.queue...) {
		r.onEnd(e.sim.now, false)
	}
	e.active, e.queue, e.stepScheduled = nil, nil, false
	clear(e.cachedParts)
	e.cachedTokens = 0
}
