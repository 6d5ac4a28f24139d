package balance

// Pressure returns how busy the backend servers are that run the request's model: the pressure below which pressureShare of
// those lie of which this instance knows, 0 without any. In a large fleet it knows of some only, and the others are as busy.
func Pressure(candidates []Candidate, r *Request) float64 {
	group := groupOf(candidates, r)
	known := knownPressures(candidates, group.holds)
	if len(known) == 0 {
		return 0
	}
	return known[len(known)*pressureShare/100]
}

// pressureShare is the part of the known backend servers, in percent, that are less busy than the pressure of the pool: requests go
// to one of the less busy ones, and rarely to the least busy of all.
const pressureShare = 25

// Sureness returns the confidence from which on the answer of a smaller model is delivered, for a request as the larger model
// would run it. It falls as the larger models get busy, and first for long prompts: while an engine reads a prompt its
// streams stand still, so that a better answer holds up others the more, the longer its prompt is.
func Sureness(sure int, pressure float64, larger *Request) int {
	relaxed := min(max((pressure-easyPressure)/(fullPressure-easyPressure), 0), 1)
	return int(float64(sure) * max(1-relaxed*mostRelaxed*larger.burden(), 0))
}

// burden weighs a generation by what its prompt takes from others: 0 for an empty prompt, mostBurden for the longest ones.
func (r *Request) burden() float64 {
	work := r.work(0)
	return min(heavyBurden*2*work/(work+heavyWork), mostBurden)
}

const (
	// easyPressure is the pressure up to which the larger model is asked as often as callers would like, and fullPressure
	// that from which on it is asked for the most doubtful answers only.
	easyPressure = 0.05
	fullPressure = 0.35
	// mostRelaxed is the share of the confidence that is waived at fullPressure for a request with a burden of 1.
	mostRelaxed = 0.9
	// heavyBurden is the burden of a prompt of heavyWork tokens, and mostBurden that of the longest ones, which are waived whole
	// shortly before fullPressure. Both come from trials on the grown sites (docs/measurements/platform.md).
	heavyBurden = 0.75
	mostBurden  = 1.2
)

// NextModel returns the position of the model that a request goes on to when the model at a position doubts its answer: the
// next one when little was missing, else the largest.
func NextModel(at, models, confidence, sure int) int {
	if at+1 < models-1 && 100*confidence >= nearlySure*sure {
		return at + 1
	}
	return models - 1
}

// nearlySure is the share of the confidence asked, in percent, from which on the next larger model is likely to do.
const nearlySure = 60
