package scheduler

import (
	"sync"
	"time"
)

const (
	// estimateDecay is the weight that the past keeps in a moving average when a new sample is added.
	estimateDecay = 0.9
	// failureCooldown is how long an upstream or a link is avoided after a failure. It covers the time until the next
	// load reports.
	failureCooldown = time.Second
	// maxRecentChoices is the number of recent choices kept per upstream to correct load reports, which lag.
	maxRecentChoices = 64
	// defaultPrefillTokenSeconds is the assumed prefill time per prompt token until one is observed.
	defaultPrefillTokenSeconds = 1.0 / 8000
	// defaultTransferTokenSeconds is the assumed transfer time of a prompt token's KV cache until one is observed.
	defaultTransferTokenSeconds = 1.0 / 50000
	// defaultTokenGapSeconds is the assumed time between output tokens until one is reported.
	defaultTokenGapSeconds = 0.03
)

// link is a pair of data centres.
type link struct {
	from, to string
}

// upstreamEstimates holds the observations of one upstream.
type upstreamEstimates struct {
	// prefillTokenSeconds is the prefill time per prompt token; 0 while unknown.
	prefillTokenSeconds float64
	cooldownUntil       time.Time
	// choices is a ring buffer of the times at which the upstream was last chosen; nextChoice is the next index to
	// write.
	choices    [maxRecentChoices]time.Time
	nextChoice int
}

// linkEstimates holds the observations of one link.
type linkEstimates struct {
	// transferTokenSeconds is the transfer time per prompt token; 0 while unknown.
	transferTokenSeconds float64
	// tokensInFlight is the number of prompt tokens whose KV cache is in transfer for requests of this process.
	tokensInFlight int
	cooldownUntil  time.Time
}

// estimates holds what this process has observed of upstreams and links, as moving averages.
type estimates struct {
	mu        sync.RWMutex
	upstreams map[string]*upstreamEstimates
	links     map[link]*linkEstimates
	// meanPrefillTokenSeconds is the prefill time per prompt token, averaged over all upstreams.
	meanPrefillTokenSeconds float64
	// firstTokenError is the moving average of the actual minus the estimated time to the first token, bounded by
	// maxFirstTokenCorrection.
	firstTokenError time.Duration
}

func newEstimates() *estimates {
	return &estimates{
		upstreams:               make(map[string]*upstreamEstimates),
		links:                   make(map[link]*linkEstimates),
		meanPrefillTokenSeconds: defaultPrefillTokenSeconds,
	}
}

func movingAverage(old, sample float64) float64 {
	if old == 0 {
		return sample
	}
	return estimateDecay*old + (1-estimateDecay)*sample
}

func (l *estimates) upstreamLocked(name string) *upstreamEstimates {
	r := l.upstreams[name]
	if r == nil {
		r = new(upstreamEstimates)
		l.upstreams[name] = r
	}
	return r
}

func (l *estimates) linkLocked(from, to string) *linkEstimates {
	key := link{from, to}
	r := l.links[key]
	if r == nil {
		r = new(linkEstimates)
		l.links[key] = r
	}
	return r
}

// inCooldown reports whether an upstream failed within failureCooldown.
func (l *estimates) inCooldown(upstream string, now time.Time) bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	r := l.upstreams[upstream]
	return r != nil && now.Before(r.cooldownUntil)
}

// choicesAfterReport returns how often this process chose the upstream after its last load report, up to
// maxRecentChoices.
func (l *estimates) choicesAfterReport(upstream string, reportAge time.Duration, now time.Time) int {
	l.mu.RLock()
	defer l.mu.RUnlock()
	r := l.upstreams[upstream]
	if r == nil {
		return 0
	}
	since := now.Add(-reportAge)
	n := 0
	for n < maxRecentChoices && r.choices[(r.nextChoice+maxRecentChoices-1-n)%maxRecentChoices].After(since) {
		n++
	}
	return n
}

// prefillTokenSeconds returns the prefill time per prompt token: as reported by the sidecar, else as observed by this
// process, else the mean over all upstreams.
func (l *estimates) prefillTokenSeconds(c *Candidate) float64 {
	if speed := c.Load.GetPrefillTokensPerSecond(); speed > 0 {
		return 1 / speed
	}
	l.mu.RLock()
	defer l.mu.RUnlock()
	if r := l.upstreams[c.Upstream]; r != nil && r.prefillTokenSeconds > 0 {
		return r.prefillTokenSeconds
	}
	return l.meanPrefillTokenSeconds
}

// transferSeconds returns the expected time to transfer the KV cache of a prompt after the transfers in flight of this
// process.
func (l *estimates) transferSeconds(from, to string, tokens int) float64 {
	l.mu.RLock()
	defer l.mu.RUnlock()
	r := l.links[link{from, to}]
	if r == nil {
		return float64(tokens) * defaultTransferTokenSeconds
	}
	perToken := r.transferTokenSeconds
	if perToken == 0 {
		perToken = defaultTransferTokenSeconds
	}
	seconds := float64(tokens+r.tokensInFlight) * perToken
	if time.Now().Before(r.cooldownUntil) {
		seconds += failureCooldown.Seconds()
	}
	return seconds
}

// ObservePrefill updates the prefill speed of an upstream from a finished prefill. tokens are those that were not
// cached.
func (s *Scheduler) ObservePrefill(upstream string, tokens int, elapsed time.Duration) {
	if tokens <= 0 {
		return
	}
	sample := elapsed.Seconds() / float64(tokens)
	s.estimates.mu.Lock()
	defer s.estimates.mu.Unlock()
	r := s.estimates.upstreamLocked(upstream)
	r.prefillTokenSeconds = movingAverage(r.prefillTokenSeconds, sample)
	s.estimates.meanPrefillTokenSeconds = movingAverage(s.estimates.meanPrefillTokenSeconds, sample)
}

// StartTransfer counts a transfer as in flight. It must be followed by exactly one ObserveTransfer or AbandonTransfer.
func (s *Scheduler) StartTransfer(from, to string, tokens int) {
	s.estimates.mu.Lock()
	defer s.estimates.mu.Unlock()
	s.estimates.linkLocked(from, to).tokensInFlight += tokens
}

// AbandonTransfer stops counting a transfer that did not finish as in flight.
func (s *Scheduler) AbandonTransfer(from, to string, tokens int) {
	s.estimates.mu.Lock()
	defer s.estimates.mu.Unlock()
	r := s.estimates.linkLocked(from, to)
	r.tokensInFlight = max(0, r.tokensInFlight-tokens)
}

// ObserveTransferFailure records that a transfer on a link has stalled. The cost of the link is raised during the next
// failureCooldown, so that other links are preferred.
func (s *Scheduler) ObserveTransferFailure(from, to string) {
	s.estimates.mu.Lock()
	defer s.estimates.mu.Unlock()
	s.estimates.linkLocked(from, to).cooldownUntil = time.Now().Add(failureCooldown)
}

// ObserveTransfer updates the rate of a link from a finished transfer of a prompt's KV cache.
func (s *Scheduler) ObserveTransfer(from, to string, tokens int, elapsed time.Duration) {
	if tokens <= 0 {
		return
	}
	s.estimates.mu.Lock()
	defer s.estimates.mu.Unlock()
	r := s.estimates.linkLocked(from, to)
	// The transfers of this process that are in flight shared the link with this one.
	tokensOnLink := max(tokens, r.tokensInFlight)
	r.transferTokenSeconds = movingAverage(r.transferTokenSeconds, elapsed.Seconds()/float64(tokensOnLink))
	r.tokensInFlight = max(0, r.tokensInFlight-tokens)
}

// ObserveChoice records that a reservation was requested from an upstream, which its last load report does not include
// yet. It is called for every reservation request. Without it, all requests between two reports would go to the same
// upstreams.
func (s *Scheduler) ObserveChoice(upstream string) {
	s.estimates.mu.Lock()
	defer s.estimates.mu.Unlock()
	r := s.estimates.upstreamLocked(upstream)
	r.choices[r.nextChoice] = time.Now()
	r.nextChoice = (r.nextChoice + 1) % maxRecentChoices
}

// ObserveFailure records that an upstream has failed a request. It is not chosen during the next failureCooldown,
// unless no other upstream is available.
func (s *Scheduler) ObserveFailure(upstream string) {
	s.estimates.mu.Lock()
	defer s.estimates.mu.Unlock()
	s.estimates.upstreamLocked(upstream).cooldownUntil = time.Now().Add(failureCooldown)
}
