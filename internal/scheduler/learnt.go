package scheduler

import (
	"sync"
	"time"
)

const (
	// learnKeep is the weight of the past in learnt values.
	learnKeep = 0.9
	// avoidTime is how long an upstream that failed a request is not chosen. It covers the time until the next reports.
	avoidTime = time.Second
	// recentChoices bounds the choices that are remembered per upstream for the correction of lagging reports.
	recentChoices = 64
	// defaultTokenSeconds is the prefill time of a prompt token before any was learnt.
	defaultTokenSeconds = 1.0 / 8000
	// defaultTransferSeconds is the transfer time of a prompt token's KV cache before any was learnt.
	defaultTransferSeconds = 1.0 / 50000
	// defaultGapSeconds is the time between output tokens before any was reported.
	defaultGapSeconds = 0.03
)

// link is a pair of data centres.
type link struct {
	from, to string
}

// upstreamRecord is what was learnt of one upstream.
type upstreamRecord struct {
	tokenSeconds float64
	avoidUntil   time.Time
	// choices are the times of the last choices, a ring.
	choices [recentChoices]time.Time
	next    int
}

// linkRecord is what was learnt of one link.
type linkRecord struct {
	tokenSeconds float64
	// pending is the number of prompt tokens that this process has under way.
	pending    int
	avoidUntil time.Time
}

// learnt holds the learnt estimates.
type learnt struct {
	mu        sync.RWMutex
	upstreams map[string]*upstreamRecord
	links     map[link]*linkRecord
	// prefillSeconds is the prefill time of a prompt token over all upstreams.
	prefillSeconds float64
	// firstTokenError is the mean of actual minus estimated time to the first token.
	firstTokenError time.Duration
}

func newLearnt() *learnt {
	return &learnt{
		upstreams:      make(map[string]*upstreamRecord),
		links:          make(map[link]*linkRecord),
		prefillSeconds: defaultTokenSeconds,
	}
}

func blend(old, sample float64) float64 {
	if old == 0 {
		return sample
	}
	return learnKeep*old + (1-learnKeep)*sample
}

func (l *learnt) upstreamLocked(name string) *upstreamRecord {
	r := l.upstreams[name]
	if r == nil {
		r = new(upstreamRecord)
		l.upstreams[name] = r
	}
	return r
}

func (l *learnt) linkLocked(from, to string) *linkRecord {
	key := link{from, to}
	r := l.links[key]
	if r == nil {
		r = new(linkRecord)
		l.links[key] = r
	}
	return r
}

// avoided reports whether an upstream has just failed.
func (l *learnt) avoided(upstream string, now time.Time) bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	r := l.upstreams[upstream]
	return r != nil && now.Before(r.avoidUntil)
}

// chosenSince returns the number of choices that a report of this age cannot show.
func (l *learnt) chosenSince(upstream string, age time.Duration, now time.Time) int {
	l.mu.RLock()
	defer l.mu.RUnlock()
	r := l.upstreams[upstream]
	if r == nil {
		return 0
	}
	since := now.Add(-age)
	n := 0
	for n < recentChoices && r.choices[(r.next+recentChoices-1-n)%recentChoices].After(since) {
		n++
	}
	return n
}

// tokenSeconds returns the prefill time of a prompt token: reported by the sidecar, learnt here, or learnt over all.
func (l *learnt) tokenSeconds(c *Candidate) float64 {
	if speed := c.Load.GetPrefillTokensPerSecond(); speed > 0 {
		return 1 / speed
	}
	l.mu.RLock()
	defer l.mu.RUnlock()
	if r := l.upstreams[c.Upstream]; r != nil && r.tokenSeconds > 0 {
		return r.tokenSeconds
	}
	return l.prefillSeconds
}

// transferSeconds returns the time to transfer the KV cache of a prompt, behind what this process has under way.
func (l *learnt) transferSeconds(from, to string, tokens int) float64 {
	l.mu.RLock()
	defer l.mu.RUnlock()
	r := l.links[link{from, to}]
	if r == nil {
		return float64(tokens) * defaultTransferSeconds
	}
	perToken := r.tokenSeconds
	if perToken == 0 {
		perToken = defaultTransferSeconds
	}
	seconds := float64(tokens+r.pending) * perToken
	if time.Now().Before(r.avoidUntil) {
		seconds += avoidTime.Seconds()
	}
	return seconds
}

// ObservePrefill learns the speed of an upstream from a finished prefill of tokens that were not cached.
func (s *Scheduler) ObservePrefill(upstream string, tokens int, elapsed time.Duration) {
	if tokens <= 0 {
		return
	}
	sample := elapsed.Seconds() / float64(tokens)
	s.learnt.mu.Lock()
	defer s.learnt.mu.Unlock()
	r := s.learnt.upstreamLocked(upstream)
	r.tokenSeconds = blend(r.tokenSeconds, sample)
	s.learnt.prefillSeconds = blend(s.learnt.prefillSeconds, sample)
}

// StartTransfer counts a transfer that this process has under way. Every start is followed by one ObserveTransfer or
// AbandonTransfer.
func (s *Scheduler) StartTransfer(from, to string, tokens int) {
	s.learnt.mu.Lock()
	defer s.learnt.mu.Unlock()
	s.learnt.linkLocked(from, to).pending += tokens
}

// AbandonTransfer ends a transfer that did not finish.
func (s *Scheduler) AbandonTransfer(from, to string, tokens int) {
	s.learnt.mu.Lock()
	defer s.learnt.mu.Unlock()
	r := s.learnt.linkLocked(from, to)
	r.pending = max(0, r.pending-tokens)
}

// ObserveTransferFailure keeps a link on which a transfer stalled from being chosen for a second, if others serve.
func (s *Scheduler) ObserveTransferFailure(from, to string) {
	s.learnt.mu.Lock()
	defer s.learnt.mu.Unlock()
	s.learnt.linkLocked(from, to).avoidUntil = time.Now().Add(avoidTime)
}

// ObserveTransfer learns the rate of a link from a finished transfer of a prompt's KV cache.
func (s *Scheduler) ObserveTransfer(from, to string, tokens int, elapsed time.Duration) {
	if tokens <= 0 {
		return
	}
	s.learnt.mu.Lock()
	defer s.learnt.mu.Unlock()
	r := s.learnt.linkLocked(from, to)
	// What this process had under way shared the link with the transfer.
	shared := max(tokens, r.pending)
	r.tokenSeconds = blend(r.tokenSeconds, elapsed.Seconds()/float64(shared))
	r.pending = max(0, r.pending-tokens)
}

// ObserveChoice records that an upstream was asked to take work, which its last report cannot show yet. It is called for
// every reservation that is asked for: without it, all requests between two reports go to the same upstreams.
func (s *Scheduler) ObserveChoice(upstream string) {
	s.learnt.mu.Lock()
	defer s.learnt.mu.Unlock()
	r := s.learnt.upstreamLocked(upstream)
	r.choices[r.next] = time.Now()
	r.next = (r.next + 1) % recentChoices
}

// ObserveFailure keeps an upstream that failed a request from being chosen for a second.
func (s *Scheduler) ObserveFailure(upstream string) {
	s.learnt.mu.Lock()
	defer s.learnt.mu.Unlock()
	s.learnt.upstreamLocked(upstream).avoidUntil = time.Now().Add(avoidTime)
}
