package places

import (
	"math"
	"time"
)

const (
	// promiseConfidence is the normal quantile of the probability 0.98 with which a promise must hold.
	promiseConfidence = 2.054
	// promiseLateShare is the share of promises that may be late, the complement of 0.98.
	promiseLateShare = 0.02
	// confidenceStep is the shift of the quantile for a late promise. Promises kept shift it back by 1/49 of that, so the
	// quantile settles where 2 in 100 are late.
	confidenceStep = 0.15
	minConfidence  = 0.5
	maxConfidence  = 5.0
	// defaultGap is the time between tokens before any was learnt.
	defaultGap = 30 * time.Millisecond
	// defaultUnitTime is the time for one cost token of work without output tokens before any was learnt.
	defaultUnitTime = time.Millisecond
	// ratioBins divides the ratio of actual to expected work from 0 to maxRatio.
	ratioBins = 48
	maxRatio  = 1.5
	// ratioDecay is the weight that older requests keep when one finishes.
	ratioDecay = 0.98
	gapDecay   = 0.98
	// maxGapFactor limits the effect of one long gap.
	maxGapFactor = 5
	useKeep      = 0.98
	unitDecay    = 0.9
)

// estimator learns how long requests hold a place and how well promises were kept.
type estimator struct {
	// lateLimit is the wait in Begin above which a promise counts as broken.
	lateLimit time.Duration
	// gapSeconds is the time between output tokens; 0 while unknown.
	gapSeconds float64
	// unitSeconds is the time per unit of work of requests without output tokens; 0 while unknown.
	unitSeconds float64
	// startSeconds is the time from Begin to the first token.
	startSeconds float64
	// ratios is the distribution of actual work over expected work of finished requests.
	ratios [ratioBins]float64
	// cumulative holds the sums of ratios up to each bin, so that a look at the waiting list stays cheap.
	cumulative [ratioBins + 1]float64
	// meanRatio is the mean of ratios.
	meanRatio float64
	// useShare is the share of requests that use a place in the end; the others are withdrawn, mostly because another
	// upstream granted first.
	useShare float64
	// confidence is the quantile at which promises are given.
	confidence float64
}

func newEstimator(lateLimit time.Duration) estimator {
	e := estimator{lateLimit: lateLimit, confidence: promiseConfidence, useShare: 1}
	// Until requests have finished, each is expected to use all of its expected work.
	e.ratios[ratioBin(1)] = 1
	e.sum()
	return e
}

// sum brings cumulative and meanRatio up to date.
func (e *estimator) sum() {
	mean, total := 0.0, 0.0
	for i, weight := range e.ratios {
		e.cumulative[i+1] = e.cumulative[i] + weight
		mean += weight * (float64(i) + 0.5)
		total += weight
	}
	e.meanRatio = mean / total * maxRatio / ratioBins
}

func ratioBin(ratio float64) int {
	return min(ratioBins-1, max(0, int(ratio/maxRatio*ratioBins)))
}

func blend(old, sample, keep float64) float64 {
	if old == 0 {
		return sample
	}
	return keep*old + (1-keep)*sample
}

func (e *estimator) gap() float64 {
	if e.gapSeconds == 0 {
		return defaultGap.Seconds()
	}
	return e.gapSeconds
}

func (e *estimator) unit() float64 {
	if e.unitSeconds == 0 {
		return defaultUnitTime.Seconds()
	}
	return e.unitSeconds
}

// progressed learns from new output tokens.
func (e *estimator) progressed(r *Reservation, tokens int, now time.Time) {
	if r.progress == 0 {
		e.startSeconds = blend(e.startSeconds, now.Sub(r.begun).Seconds(), unitDecay)
		return
	}
	count := tokens - r.progress
	sample := now.Sub(r.lastToken).Seconds() / float64(count)
	if e.gapSeconds > 0 {
		// One pause of the engine must not look like a slow engine.
		sample = min(sample, maxGapFactor*e.gapSeconds)
	}
	e.gapSeconds = blend(e.gapSeconds, sample, math.Pow(gapDecay, float64(count)))
}

// finished learns from a request that ran.
func (e *estimator) finished(r *Reservation, now time.Time) {
	ratio := float64(r.progress) / r.units
	if !r.tokens {
		held := now.Sub(r.begun).Seconds()
		e.unitSeconds = blend(e.unitSeconds, held/r.units, unitDecay)
		ratio = held / (r.units * e.unit())
	}
	for i := range e.ratios {
		e.ratios[i] *= ratioDecay
	}
	e.ratios[ratioBin(ratio)] += 1 - ratioDecay
	e.sum()
}

// promiseKept learns whether a promised place was free when it was needed.
func (e *estimator) promiseKept(r *Reservation, now time.Time) {
	if !r.promised {
		return
	}
	if now.Sub(r.asked) > e.lateLimit {
		e.promiseBroken(r)
		return
	}
	e.confidence = max(minConfidence, e.confidence-confidenceStep*promiseLateShare)
}

// promiseBroken raises the confidence that later promises need.
func (e *estimator) promiseBroken(r *Reservation) {
	if r.promised {
		e.confidence = min(maxConfidence, e.confidence+confidenceStep*(1-promiseLateShare))
	}
}

// decided learns whether a request that asked for a place used it.
func (e *estimator) decided(used bool) {
	sample := 0.0
	if used {
		sample = 1
	}
	e.useShare = useKeep*e.useShare + (1-useKeep)*sample
}

// below returns the learnt probability that a request uses at most ratio of its expected work.
func (e *estimator) below(ratio float64) float64 {
	at := max(0, ratio/maxRatio*ratioBins)
	bin := int(at)
	if bin >= ratioBins {
		return 1
	}
	return min(1, e.cumulative[bin]+e.ratios[bin]*(at-float64(bin)))
}

// used returns the units that a running request has used, and the time until it uses the next ones.
func (e *estimator) used(r *Reservation, now time.Time) (units, startLeft float64) {
	if !r.tokens {
		return now.Sub(r.begun).Seconds() / e.unit(), 0
	}
	if r.progress == 0 {
		return 0, max(0, e.startSeconds-now.Sub(r.begun).Seconds())
	}
	since := now.Sub(r.lastToken).Seconds()
	return float64(r.progress) + min(1, since/e.gap()), 0
}

// unitTime returns the seconds for one unit of the reservation's work.
func (e *estimator) unitTime(tokens bool) float64 {
	if tokens {
		return e.gap()
	}
	return e.unit()
}

// endProbability returns the probability that a running request ends within d.
func (e *estimator) endProbability(r *Reservation, now time.Time, d time.Duration) float64 {
	units, startLeft := e.used(r, now)
	left := d.Seconds() - startLeft
	if left <= 0 {
		return 0
	}
	already := e.below(units / r.units)
	if already > 0.999 {
		// The request has outlived all that was learnt, so its end cannot be predicted.
		return 0
	}
	then := e.below((units + left/e.unitTime(r.tokens)) / r.units)
	return (then - already) / (1 - already)
}

// futureEndProbability returns the probability that a request that begins after start ends within d.
func (e *estimator) futureEndProbability(r *Reservation, start, d time.Duration) float64 {
	left := (d - max(0, start)).Seconds()
	if r.tokens {
		left -= e.startSeconds
	}
	if left <= 0 {
		return 0
	}
	return e.below(left / e.unitTime(r.tokens) / r.units)
}

// holdSeconds returns the expected time that work holds a place; 0 if nothing was learnt about such work, so that nothing
// is refused for a guess.
func (e *estimator) holdSeconds(units float64, tokens bool) float64 {
	if !tokens && e.unitSeconds == 0 {
		return 0
	}
	hold := units * e.meanRatio * e.unitTime(tokens)
	if tokens {
		hold += e.startSeconds
	}
	return hold
}

// remainingSeconds returns the expected time until a running request ends.
func (e *estimator) remainingSeconds(r *Reservation, now time.Time) float64 {
	hold := e.holdSeconds(r.units, r.tokens)
	return max(hold/8, hold-now.Sub(r.begun).Seconds())
}
