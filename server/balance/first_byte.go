package balance

import "time"

const (
	// baseFirstByte is the usual time to the first byte of a generation under load, without the time to read its
	// prompt.
	baseFirstByte = 400 * time.Millisecond
	// readTokensPerMillisecond is a low estimate of the number of prompt tokens that an engine reads per millisecond with the
	// slowest model.
	readTokensPerMillisecond = 20
	// timeoutFactor is the ratio of the timeout to the expected time to the first byte of a generation.
	timeoutFactor = 2
	// plainTimeoutFactor is the ratio of the timeout to the target time of a plain service, whose slowest answers take
	// 1.5 times the target.
	plainTimeoutFactor = 3
)

// FirstByteTimeout returns how long an attempt may wait for the first byte of the answer before the request is sent to
// another backend server, as answers can get lost while the connection stays open. It returns 0, no timeout, for a busy
// or cold server, which answers late because of its queue; another attempt would add to the load. target is the target
// time of the answer, 0 if the route has none.
func FirstByteTimeout(r *Request, c *Candidate, target time.Duration) time.Duration {
	if c.Cold || c.Pressure() >= highPressure {
		return 0
	}
	slowness := max(c.Slowness, 1)
	if r.PromptTokens == 0 {
		return time.Duration(plainTimeoutFactor * slowness * float64(target))
	}
	unread := r.newTokens(c.CachedTokens) + c.QueuedTokens
	expected := baseFirstByte + time.Duration(unread/readTokensPerMillisecond*float64(time.Millisecond))
	return time.Duration(timeoutFactor * slowness * float64(expected))
}
