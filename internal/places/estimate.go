package places

import (
	"math"
	"time"
)

const (
	// initialQuantile is the quantile of the standard normal distribution for the probability 0.98 that a promise is
	// kept.
	initialQuantile = 2.054
	// promiseLateShare is the target share of late promises, the complement of 0.98.
	promiseLateShare = 0.02
	// quantileStep scales the changes of the promise quantile. A late promise raises it by 0.98 steps and a kept
	// promise lowers it by 0.02 steps, so it settles where 2 in 100 promises are late.
	quantileStep = 0.15
	minQuantile  = 0.5
	maxQuantile  = 5.0
	// defaultTokenGap is the assumed time between output tokens until one is observed.
	defaultTokenGap = 30 * time.Millisecond
	// defaultUnitTime is the assumed time per cost token of requests without output tokens until one has finished.
	defaultUnitTime = time.Millisecond
	// ratioBins is the number of histogram bins for the ratio of actual to expected work, from 0 to maxRatio.
	ratioBins = 48
	maxRatio  = 1.5
	// The decay of a moving average is the weight that the past keeps when a new sample is added.
	ratioDecay    = 0.98
	tokenGapDecay = 0.98
	// maxGapFactor limits one sample of the token gap, as a multiple of the present average.
	maxGapFactor  = 5
	useShareDecay = 0.98
	// timeDecay is the decay of startSeconds and meanCostUnitSeconds.
	timeDecay = 0.9
)

// estimator keeps moving averages of how long requests occupy a place and of how often promises are kept.
type estimator struct {
	// lateLimit is the wait in Begin above which a promise counts as late.
	lateLimit time.Duration
	// tokenGapSeconds is the time between output tokens; 0 while unknown.
	tokenGapSeconds float64
	// meanCostUnitSeconds is the time per cost token of requests without output tokens; 0 while unknown.
	meanCostUnitSeconds float64
	// startSeconds is the time from the assignment of a place to the first token.
	startSeconds float64
	// ratios is the histogram of the ratio of actual to expected work of finished requests.
	ratios [ratioBins]float64
	// cumulative holds the sum of ratios below each bin, so that evaluating the queue stays cheap.
	cumulative [ratioBins + 1]float64
	// meanRatio is the mean of the ratio of actual to expected work.
	meanRatio float64
	// useShare is the share of requests that eventually use a place. The others are withdrawn, mostly because another
	// upstream granted its reservation first.
	useShare float64
	// promiseQuantile is the number of standard deviations by which the expected free places must exceed the needed
	// ones for a promise to be given.
	promiseQuantile float64
}

func newEstimator(lateLimit time.Duration) estimator {
	e := estimator{lateLimit: lateLimit, promiseQuantile: initialQuantile, useShare: 1}
	// Until requests have finished, each is assumed to do exactly its expected work.
	e.ratios[ratioBin(1)] = 1
	e.updateSums()
	return e
}

// updateSums recomputes cumulative and meanRatio from ratios.
func (e *estimator) updateSums() {
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

func movingAverage(old, sample, decay float64) float64 {
	if old == 0 {
		return sample
	}
	return decay*old + (1-decay)*sample
}

func (e *estimator) tokenGap() float64 {
	if e.tokenGapSeconds == 0 {
		return defaultTokenGap.Seconds()
	}
	return e.tokenGapSeconds
}

func (e *estimator) costUnitSeconds() float64 {
	if e.meanCostUnitSeconds == 0 {
		return defaultUnitTime.Seconds()
	}
	return e.meanCostUnitSeconds
}

// observeTokens updates startSeconds from the first output tokens of a request, and the token gap from later ones.
func (e *estimator) observeTokens(r *Reservation, tokens int, now time.Time) {
	if r.outputTokens == 0 {
		e.startSeconds = movingAverage(e.startSeconds, now.Sub(r.startedAt).Seconds(), timeDecay)
		return
	}
	count := tokens - r.outputTokens
	sample := now.Sub(r.lastTokenAt).Seconds() / float64(count)
	if e.tokenGapSeconds > 0 {
		// A single pause of the engine must not make it look slow.
		sample = min(sample, maxGapFactor*e.tokenGapSeconds)
	}
	e.tokenGapSeconds = movingAverage(e.tokenGapSeconds, sample, math.Pow(tokenGapDecay, float64(count)))
}

// observeFinish updates the distribution of actual work, and the time per cost token, from a request that ran.
func (e *estimator) observeFinish(r *Reservation, now time.Time) {
	ratio := float64(r.outputTokens) / r.units
	if !r.tokenBased {
		seconds := now.Sub(r.startedAt).Seconds()
		e.meanCostUnitSeconds = movingAverage(e.meanCostUnitSeconds, seconds/r.units, timeDecay)
		ratio = seconds / (r.units * e.costUnitSeconds())
	}
	for i := range e.ratios {
		e.ratios[i] *= ratioDecay
	}
	e.ratios[ratioBin(ratio)] += 1 - ratioDecay
	e.updateSums()
}

// observePromise updates the promise quantile when a promised place is assigned.
func (e *estimator) observePromise(r *Reservation, now time.Time) {
	if !r.promised {
		return
	}
	if now.Sub(r.beginCalledAt) > e.lateLimit {
		e.observeBrokenPromise(r)
		return
	}
	e.promiseQuantile = max(minQuantile, e.promiseQuantile-quantileStep*promiseLateShare)
}

// observeBrokenPromise raises the promise quantile if the reservation, whose place was not free in time, was promised.
func (e *estimator) observeBrokenPromise(r *Reservation) {
	if r.promised {
		e.promiseQuantile = min(maxQuantile, e.promiseQuantile+quantileStep*(1-promiseLateShare))
	}
}

// observeUse updates useShare with whether a request used a place.
func (e *estimator) observeUse(used bool) {
	sample := 0.0
	if used {
		sample = 1
	}
	e.useShare = useShareDecay*e.useShare + (1-useShareDecay)*sample
}

// cumulativeProbability returns the estimated probability that a request does at most ratio of its expected work.
func (e *estimator) cumulativeProbability(ratio float64) float64 {
	position := max(0, ratio/maxRatio*ratioBins)
	bin := int(position)
	if bin >= ratioBins {
		return 1
	}
	return min(1, e.cumulative[bin]+e.ratios[bin]*(position-float64(bin)))
}

// workDone returns the units of work that a running request has done, and the expected seconds until its first token.
func (e *estimator) workDone(r *Reservation, now time.Time) (units, untilFirstToken float64) {
	if !r.tokenBased {
		return now.Sub(r.startedAt).Seconds() / e.costUnitSeconds(), 0
	}
	if r.outputTokens == 0 {
		return 0, max(0, e.startSeconds-now.Sub(r.startedAt).Seconds())
	}
	since := now.Sub(r.lastTokenAt).Seconds()
	return float64(r.outputTokens) + min(1, since/e.tokenGap()), 0
}

// secondsPerUnit returns the seconds per unit of work: per output token if tokenBased is set, per cost token otherwise.
func (e *estimator) secondsPerUnit(tokenBased bool) float64 {
	if tokenBased {
		return e.tokenGap()
	}
	return e.costUnitSeconds()
}

// endProbability returns the probability that a running request ends within d.
func (e *estimator) endProbability(r *Reservation, now time.Time, d time.Duration) float64 {
	units, untilFirstToken := e.workDone(r, now)
	remaining := d.Seconds() - untilFirstToken
	if remaining <= 0 {
		return 0
	}
	endedByNow := e.cumulativeProbability(units / r.units)
	if endedByNow > 0.999 {
		// The request has done more work than nearly all observed ones, so its end cannot be predicted.
		return 0
	}
	endedByThen := e.cumulativeProbability((units + remaining/e.secondsPerUnit(r.tokenBased)) / r.units)
	return (endedByThen - endedByNow) / (1 - endedByNow)
}

// futureEndProbability returns the probability that a request that begins start from now has ended d from now.
func (e *estimator) futureEndProbability(r *Reservation, start, d time.Duration) float64 {
	remaining := (d - max(0, start)).Seconds()
	if r.tokenBased {
		remaining -= e.startSeconds
	}
	if remaining <= 0 {
		return 0
	}
	return e.cumulativeProbability(remaining / e.secondsPerUnit(r.tokenBased) / r.units)
}

// holdSeconds returns the expected time for which a request occupies a place. It is 0 for requests without output
// tokens until one has finished, so that no request is refused because of an assumed time.
func (e *estimator) holdSeconds(units float64, tokenBased bool) float64 {
	if !tokenBased && e.meanCostUnitSeconds == 0 {
		return 0
	}
	hold := units * e.meanRatio * e.secondsPerUnit(tokenBased)
	if tokenBased {
		hold += e.startSeconds
	}
	return hold
}

// remainingSeconds returns the expected time until a running request ends. It is at least an eighth of the expected
// hold time, also for a request that has run longer than expected.
func (e *estimator) remainingSeconds(r *Reservation, now time.Time) float64 {
	hold := e.holdSeconds(r.units, r.tokenBased)
	return max(hold/8, hold-now.Sub(r.startedAt).Seconds())
}
