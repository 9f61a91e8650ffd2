// Package waitestimate estimates how long a request will wait for the memory of model engines.
//
// It is built for bursts of two to four times what the engines can take, for seconds. Most requests of such a burst cannot
// be served in time, and one that learns so at once can go elsewhere or come back later, instead of waiting in vain.
package waitestimate

import (
	"sync"
	"time"
)

const (
	// minFinished is the number of finished streams before which no release rate is known. The first streams of a burst that
	// finish are the shortest, so fewer would say little about the others.
	minFinished = 8
	// averagedStreams is the number of streams over which the moving average of the hold time extends.
	averagedStreams = 16
	// recentRequests is the number of requests of one priority with which the position of a new one is determined.
	recentRequests = 64
	// minRecent is the least number by which the count of requests ahead is divided. After a start, it keeps the share low.
	minRecent = 8
	// maxWait bounds estimates, so that sums of them do not overflow whatever demand other processes report.
	maxWait = time.Hour
)

// Estimator estimates the waits for the engines of one service. The zero value is ready to use, and its methods may be called
// concurrently.
type Estimator struct {
	mu sync.Mutex // guards the fields below
	// finished counts the finished streams, up to averagedStreams.
	finished int
	// memory is the moving average of the streams' memory in tokens, and memorySeconds that of memory times hold time.
	memory, memorySeconds float64
	recent                map[int]*recentRatios // by priority
}

// recentRatios holds the ratios of value to cost of the last requests of one priority.
type recentRatios struct {
	ratios [recentRequests]float64
	count  int // up to recentRequests
	next   int // index of the oldest ratio once all are in use
}

// Finished records a stream that held memory, in tokens, at an engine for a time.
func (e *Estimator) Finished(held time.Duration, memory int) {
	if held <= 0 || memory <= 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.finished = min(e.finished+1, averagedStreams)
	weight := 1 / float64(e.finished)
	e.memory += weight * (float64(memory) - e.memory)
	e.memorySeconds += weight * (float64(memory)*held.Seconds() - e.memorySeconds)
}

// Arrived records a request with a ratio of value to cost. It returns the share of the waiting requests of its priority that
// is served before it, as estimated from the requests that arrived before. Requests with the same ratio are served in order of arrival.
func (e *Estimator) Arrived(priority int, costRatio float64) (share float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	recent := e.recent[priority]
	if recent == nil {
		if e.recent == nil {
			e.recent = make(map[int]*recentRatios)
		}
		recent = new(recentRatios)
		e.recent[priority] = recent
	}
	share = recent.share(func(ratio float64) bool { return ratio >= costRatio })
	recent.ratios[recent.next] = costRatio
	recent.next = (recent.next + 1) % recentRequests
	recent.count = min(recent.count+1, recentRequests)
	return share
}

// Overtaking returns the share of the requests of a priority that are served before one with a ratio of value to cost although
// they arrive later, as estimated from the requests that arrived before.
func (e *Estimator) Overtaking(priority int, costRatio float64) (share float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.recent[priority].share(func(ratio float64) bool { return ratio > costRatio })
}

// share returns the share of the ratios that match.
func (r *recentRatios) share(matches func(ratio float64) bool) float64 {
	if r == nil {
		return 0
	}
	matching := 0
	for _, ratio := range r.ratios[:r.count] {
		if matches(ratio) {
			matching++
		}
	}
	return float64(matching) / float64(max(r.count, minRecent))
}

// Wait returns the expected time until a request gets its own memory, when requests that need the memory ahead are served
// before it and inUse is the memory that all running streams hold, each in tokens. It is not known before enough streams have
// finished, or while no stream runs.
func (e *Estimator) Wait(ahead, own, inUse int) (wait time.Duration, known bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.finished < minFinished || inUse <= 0 {
		return 0, false
	}
	// Streams that need more memory count for more, as the mean is that over the memory in use.
	meanHold := e.memorySeconds / e.memory
	seconds := (float64(ahead) + float64(own)) / float64(inUse) * meanHold
	return time.Duration(min(seconds, maxWait.Seconds()) * float64(time.Second)), true
}
