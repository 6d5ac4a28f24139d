package balance

import "time"

const (
	// firstByte is the usual time to the first byte of a generation beside the reading of its prompt, under load.
	firstByte = 400 * time.Millisecond
	// readRate is the number of prompt tokens that an engine of the users' smaller site reads in a millisecond with the slowest
	// model.
	readRate = 20
	// patienceFactor is how many times the expected time an answer may take before its server counts as silent.
	patienceFactor = 2
	// plainPatience is the same for plain services, in wanted times: their slowest answers take one and a half.
	plainPatience = 3
)

// Patience returns how long the first byte of an answer may take before another backend server is asked: answers get lost
// while the connection stays open. It returns 0, wait on, for a server that is busy or cold: its silence is a queue, and another
// request would make it longer. target is the wanted time of the answer, 0 when none is stated.
func Patience(r *Request, c *Candidate, target time.Duration) time.Duration {
	if c.Cold || c.Pressure() >= fullPressure {
		return 0
	}
	slowness := max(c.Slowness, 1)
	if r.PromptTokens == 0 {
		return time.Duration(plainPatience * slowness * float64(target))
	}
	unread := r.work(c.CachedTokens) + c.Queue
	expected := firstByte + time.Duration(unread/readRate*float64(time.Millisecond))
	return time.Duration(patienceFactor * slowness * float64(expected))
}
