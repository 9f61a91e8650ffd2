// Package placement chooses the upstreams for a request from what this process knows: the list of announced upstreams, the
// requests that this process and its peers have in flight, and how each upstream answered recently. It does no I/O; callers
// pass in the current time.
//
// It is built for two load patterns. In a burst on a plain service, requests stay in the caller's data centre until the
// upstream there queues, and are then spread by expected wait. In a burst on a model service, a decode engine processes the
// prompt itself while that costs less than a prefill engine with a KV cache transfer; prefill engines take the prompts that
// would delay the streams already running at the decode engine.
package placement

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/fulmardoor/fulmardoor/internal/fleet"
)

const (
	// failureWeight is the weight of the newest answer in the moving average of failures.
	failureWeight = 0.2
	// failureHalfLife is the time in which the failure average halves without new answers, so that an avoided upstream gets
	// requests again.
	failureHalfLife = 4 * time.Second
	// suspectMin and suspectMax bound the suspect time: how long an upstream that did not answer gets no requests while another
	// is available. The time doubles with each further failure.
	suspectMin = time.Second
	suspectMax = 8 * time.Second
	// limitedTime is the longest time for which an upstream gets no request without another request for a permit. Its limit, or
	// the process that issues the permits, may change meanwhile.
	limitedTime = time.Second
	// activeWindow is how recently an upstream must have sent data to count as busy instead of unresponsive.
	activeWindow = 500 * time.Millisecond
	// reportedLoadAge is how long the load that an upstream reported is compared with the in-flight counts; the larger of the
	// two is used.
	reportedLoadAge = time.Second
	// observationWeight is the weight of the newest observation in the moving averages of speeds and answer times.
	observationWeight = 0.3
	// defaultPrefillTokensPerMs is the prefill speed assumed for a prefill engine before one was measured.
	defaultPrefillTokensPerMs = 30
	// decodePrefillSpeedRatio is the assumed prefill speed of a decode engine relative to a prefill engine.
	decodePrefillSpeedRatio = 0.5
)

// state is what this process knows of one upstream.
type state struct {
	info *fleet.Upstream
	// removed is set when the upstream is no longer announced. The state is kept until its in-flight requests have ended.
	removed bool
	// saysLeaving is set when the upstream said in an answer that it leaves, whatever is announced of it.
	saysLeaving bool

	// own counts the in-flight work of this process, others that of the other processes.
	own, others Share

	load     Load
	loadAt   time.Time
	slowdown slowdownFigure

	failures   float64 // moving average of failed answers, 0 to 1
	failuresAt time.Time

	// limitedUntil is when the upstream may get the next request under the limit that it named, as known at limitedAt.
	limitedAt, limitedUntil time.Time

	// pausedUntil is when the upstream, which turned a request of this process away, takes requests again.
	pausedUntil time.Time

	// refusedAt is when the engine last refused a request or reservation for lack of capacity.
	refusedAt time.Time
	// lastSentAt is when the upstream last sent anything.
	lastSentAt time.Time

	suspectUntil time.Time
	suspectCount int
	// probes is the number of in-flight requests that were sent to find out whether a suspected upstream answers again.
	probes int

	prefillTokensPerMs float64 // moving average of the prefill speed without a slowdown; 0 if not measured
	msPerToken         float64 // moving average of the time per output token; 0 if not measured
	answerMs           float64 // moving average of the time of a plain answer without a slowdown; 0 if not measured
}

// Share is the in-flight work of one or more processes at an upstream.
type Share struct {
	// Running is the number of requests, Prefills the number of prompts being prefilled and PrefillTokens their tokens.
	Running, Prefills, PrefillTokens int
	// Memory is the KV cache that the running requests are expected to use, in tokens.
	Memory int
}

func (s *Share) add(other Share, sign int) {
	s.Running += sign * other.Running
	s.Prefills += sign * other.Prefills
	s.PrefillTokens += sign * other.PrefillTokens
	s.Memory += sign * other.Memory
}

// Load is the load that an upstream reports about itself.
type Load struct {
	Running, Waiting, Slots int
	// Slowdown is how many times as long as usual work takes on the upstream's host now; zero if the upstream does not say.
	Slowdown float64
}

// Board keeps the state of all upstreams. Its methods may be called concurrently.
type Board struct {
	dataCentre string
	random     *rand.Rand

	// ownChanged is called after the work of this process changed, capacityChanged after any work ended. Both are called
	// without mu held.
	ownChanged, capacityChanged func()

	mu     sync.Mutex // guards the fields below and random
	states map[string]*state
	// slowdowns has how the reported slowdowns of each service behave.
	slowdowns map[string]*slowdownHistory
	// peersIncomplete is set while the work of at least one other process is unknown.
	peersIncomplete bool
	// peers holds the work that each source reported, by source and upstream.
	peers map[string]map[string]Share
	// ownChangedAt has the upstreams at which the work of this process changed since the last call of TakeOwnChanges.
	ownChangedAt map[string]bool
	// leaving has the starts of upstreams that said in an answer that they leave. It outlasts their states, because a store that goes back to a copy may
	// list one again that was gone.
	leaving fleet.StartMap[struct{}]
}

// NewBoard returns an empty board for a process in dataCentre. With a nil source it uses a random seed.
func NewBoard(dataCentre string, source rand.Source) *Board {
	if source == nil {
		source = rand.NewPCG(rand.Uint64(), rand.Uint64())
	}
	return &Board{dataCentre: dataCentre, random: rand.New(source), states: make(map[string]*state), slowdowns: make(map[string]*slowdownHistory),
		peers: make(map[string]map[string]Share), ownChangedAt: make(map[string]bool), ownChanged: func() {}, capacityChanged: func() {}}
}

// OnChange sets the functions that are called after the work of this process changed, and after capacity may have become
// free. It must be called before the board is used.
func (b *Board) OnChange(ownChanged, capacityChanged func()) {
	b.ownChanged, b.capacityChanged = ownChanged, capacityChanged
}

// Own returns the in-flight work of this process by upstream.
func (b *Board) Own() map[string]Share {
	b.mu.Lock()
	defer b.mu.Unlock()
	shares := make(map[string]Share)
	for id, s := range b.states {
		if s.own != (Share{}) {
			shares[id] = s.own
		}
	}
	return shares
}

// TakeOwnChanges returns the upstreams at which the work of this process changed since the call before.
func (b *Board) TakeOwnChanges() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	changed := slices.Collect(maps.Keys(b.ownChangedAt))
	clear(b.ownChangedAt)
	return changed
}

// Work returns the in-flight work of this process and of the sources that include selects, at some upstreams.
func (b *Board) Work(upstreams []string, include func(source string) bool) map[string]Share {
	b.mu.Lock()
	defer b.mu.Unlock()
	work := make(map[string]Share, len(upstreams))
	for _, id := range upstreams {
		var sum Share
		if s := b.states[id]; s != nil {
			sum = s.own
		}
		for source, shares := range b.peers {
			if share, ok := shares[id]; ok && include(source) {
				sum.add(share, 1)
			}
		}
		work[id] = sum
	}
	return work
}

// Busy returns the upstreams at which this process or a source has in-flight work.
func (b *Board) Busy() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	busy := make(map[string]bool)
	for id, s := range b.states {
		if s.own != (Share{}) {
			busy[id] = true
		}
	}
	for _, shares := range b.peers {
		for id := range shares {
			busy[id] = true
		}
	}
	return slices.Collect(maps.Keys(busy))
}

// SetOthers replaces the in-flight work reported by a source, which is another process or a group of them; nil removes it. It returns the
// upstreams at which the work changed.
func (b *Board) SetOthers(source string, shares map[string]Share) (changed []string) {
	b.mu.Lock()
	old := b.peers[source]
	if shares == nil {
		delete(b.peers, source)
	} else {
		b.peers[source] = shares
	}
	for id, share := range old {
		if new := shares[id]; new != share {
			b.addOthersLocked(id, share, -1)
			b.addOthersLocked(id, new, 1)
			changed = append(changed, id)
		}
	}
	for id, share := range shares {
		if _, known := old[id]; !known && share != (Share{}) {
			b.addOthersLocked(id, share, 1)
			changed = append(changed, id)
		}
	}
	b.mu.Unlock()
	if len(changed) > 0 {
		b.capacityChanged()
	}
	return changed
}

// UpdateOthers replaces the in-flight work reported by a source at some upstreams. It returns the upstreams at which the work changed.
func (b *Board) UpdateOthers(source string, shares map[string]Share) (changed []string) {
	b.mu.Lock()
	known := b.peers[source]
	if known == nil {
		known = make(map[string]Share)
		b.peers[source] = known
	}
	for id, share := range shares {
		old := known[id]
		if old == share {
			continue
		}
		b.addOthersLocked(id, old, -1)
		b.addOthersLocked(id, share, 1)
		changed = append(changed, id)
		if known[id] = share; share == (Share{}) {
			delete(known, id)
		}
	}
	b.mu.Unlock()
	if len(changed) > 0 {
		b.capacityChanged()
	}
	return changed
}

func (b *Board) addOthersLocked(id string, share Share, sign int) {
	if s := b.states[id]; s != nil {
		s.others.add(share, sign)
	}
}

// SetPeersIncomplete sets whether the work of at least one other process is unknown.
func (b *Board) SetPeersIncomplete(incomplete bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.peersIncomplete = incomplete
}

// newState returns the state of a newly announced upstream, including the work that other processes reported for it.
func (b *Board) newState(info *fleet.Upstream) *state {
	_, leaving := b.leaving.Get(info.Start())
	s := &state{info: info, saysLeaving: leaving}
	for _, shares := range b.peers {
		s.others.add(shares[info.ID], 1)
	}
	return s
}

// Change is a difference between two lists of upstreams.
type Change struct {
	Upstream *fleet.Upstream
	// Kind is "joined", "leaving", "restarted" (new incarnation or address), "evacuated", "readmitted" (its data centre is no longer
	// evacuated), "moved" (new stage) or "gone" (no longer announced).
	Kind string
}

// Update replaces the list of upstreams and returns what changed. An upstream that was announced as leaving, or said so itself,
// stays leaving for its incarnation, because an older list may arrive later.
func (b *Board) Update(list []*fleet.Upstream) []Change {
	b.mu.Lock()
	defer b.mu.Unlock()
	var changes []Change
	listed := make(map[string]bool, len(list))
	for _, info := range list {
		listed[info.ID] = true
		old := b.states[info.ID]
		switch {
		case old == nil:
			b.states[info.ID] = b.newState(info)
			changes = append(changes, Change{info, "joined"})
		case old.info.Incarnation != info.Incarnation || old.info.Address != info.Address:
			b.states[info.ID] = b.newState(info)
			changes = append(changes, Change{info, "restarted"})
		default:
			if change := old.update(info); change != "" {
				changes = append(changes, Change{old.info, change})
			}
		}
	}
	for id, s := range b.states {
		if listed[id] {
			continue
		}
		if !s.removed {
			changes = append(changes, Change{s.info, "gone"})
		}
		s.removed = true
	}
	return changes
}

// update applies an announcement of the same incarnation and returns the kind of change; the empty string means none.
func (s *state) update(info *fleet.Upstream) string {
	change := ""
	switch {
	case info.Leaving && !s.info.Leaving:
		change = "leaving"
	case s.removed:
		change = "joined"
	case info.Evacuated && !s.info.Evacuated:
		change = "evacuated"
	case !info.Evacuated && s.info.Evacuated:
		change = "readmitted"
	case info.Stage != s.info.Stage:
		change = "moved"
	}
	if s.info.Leaving && !info.Leaving {
		leaving := *info
		leaving.Leaving = true
		info = &leaving
	}
	s.info, s.removed = info, false
	return change
}

// Sweep deletes upstreams that are no longer announced and have no in-flight work of this process.
func (b *Board) Sweep() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, s := range b.states {
		if s.removed && s.own == (Share{}) {
			delete(b.states, id)
		}
	}
}

// Count returns the number of upstreams that may get new requests, by service.
func (b *Board) Count() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts := make(map[string]int)
	for _, s := range b.states {
		if s.usable() {
			counts[s.info.Service]++
		}
	}
	return counts
}

// Accepts reports whether an upstream may still get new requests: it is announced, with the same incarnation, and neither leaving nor evacuated.
func (b *Board) Accepts(upstream *fleet.Upstream) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.states[upstream.ID]
	return s != nil && s.usable() && s.info.Incarnation == upstream.Incarnation
}

func (s *state) usable() bool {
	return !s.removed && !s.info.Leaving && !s.info.Evacuated && !s.saysLeaving
}

// failureRate returns the failure average, decayed to now.
func (s *state) failureRate(now time.Time) float64 {
	if s.failures == 0 {
		return 0
	}
	return s.failures * math.Exp2(-float64(now.Sub(s.failuresAt))/float64(failureHalfLife))
}

// isSuspect reports whether the upstream recently did not answer. When the suspect time is over, one request at a time is
// used as a probe: an engine that has ended looks idle, and would attract all requests until the first of them fails.
func (s *state) isSuspect(now time.Time) bool { return now.Before(s.suspectUntil) || s.probes > 0 }

// clearSuspicion makes the upstream available again and resets the backoff.
func (s *state) clearSuspicion() {
	s.suspectCount, s.probes, s.suspectUntil = 0, 0, time.Time{}
}

// RecordAnswer records an answer of an upstream; failed says that the upstream answered with an error.
func (b *Board) RecordAnswer(id string, now time.Time, failed bool) {
	b.withState(id, func(s *state) {
		rate := s.failureRate(now) * (1 - failureWeight)
		if failed {
			rate += failureWeight
		} else {
			s.clearSuspicion()
		}
		s.failures, s.failuresAt, s.lastSentAt = rate, now, now
	})
}

// RecordRefusal records that an engine had no capacity for a request.
func (b *Board) RecordRefusal(id string, now time.Time) {
	b.withState(id, func(s *state) { s.refusedAt = now })
}

// RecordLimited records that the limit of an upstream permits no request for a time. Zero removes that. It returns how long the upstream
// gets no request.
func (b *Board) RecordLimited(id string, now time.Time, wait time.Duration) time.Duration {
	b.withState(id, func(s *state) { s.limitedAt, s.limitedUntil = now, now.Add(wait) })
	return min(wait, limitedTime)
}

// RecordPause records that a start of an upstream wants no request before a time.
func (b *Board) RecordPause(upstream *fleet.Upstream, until time.Time) {
	b.withState(upstream.ID, func(s *state) {
		if s.info.Incarnation == upstream.Incarnation {
			s.pausedUntil = until
		}
	})
}

// isLimited reports whether the limit of the upstream permits no request now, or the upstream wants none.
func (s *state) isLimited(now time.Time) bool { return s.takesNoneUntil(now).After(now) }

// takesNoneUntil returns when the upstream may get the next request; a time that is not after now if it may get one.
func (s *state) takesNoneUntil(now time.Time) time.Time {
	if now.Sub(s.limitedAt) < limitedTime && s.limitedUntil.After(s.pausedUntil) {
		return s.limitedUntil
	}
	return s.pausedUntil
}

// RecordActivity records that an upstream sent data.
func (b *Board) RecordActivity(id string, now time.Time) {
	b.withState(id, func(s *state) {
		s.lastSentAt = now
		if !now.Before(s.suspectUntil) {
			s.clearSuspicion()
		}
	})
}

// RecordTimeout records that an upstream sent nothing in time on one connection. It reports whether the upstream is
// unresponsive; one that recently sent data on other connections is only busy.
func (b *Board) RecordTimeout(id string, now time.Time) (unresponsive bool) {
	b.mu.Lock()
	s := b.states[id]
	active := s != nil && now.Sub(s.lastSentAt) < activeWindow
	b.mu.Unlock()
	if active {
		return false
	}
	b.MarkSuspect(id, now)
	return true
}

// MarkReplaced records that another process answers at the address of an upstream: the upstream has ended, and the list
// does not show it yet.
func (b *Board) MarkReplaced(id string, now time.Time) {
	b.withState(id, func(s *state) { s.suspectUntil = now.Add(suspectMax) })
}

// MarkSuspect records that an upstream refused or broke a connection, or did not answer in time.
func (b *Board) MarkSuspect(id string, now time.Time) {
	b.withState(id, func(s *state) {
		if now.Before(s.suspectUntil) {
			return
		}
		pause := min(suspectMin<<min(s.suspectCount, 8), suspectMax)
		s.suspectCount++
		s.suspectUntil = now.Add(pause)
	})
}

// RecordLoad records the load that an upstream reported with an answer.
func (b *Board) RecordLoad(id string, now time.Time, load Load) {
	b.withState(id, func(s *state) {
		s.load, s.loadAt = load, now
		b.recordSlowdownLocked(s, slowdownFigure{load.Slowdown, now})
	})
}

// RecordAnswerTime records how long a plain answer took that ended now.
func (b *Board) RecordAnswerTime(id string, now time.Time, elapsed time.Duration) {
	b.withState(id, func(s *state) {
		s.answerMs = movingAverage(s.answerMs, elapsed.Seconds()*1000/b.slowdownLocked(s, now))
	})
}

// RecordPrefillTime records how long the prefill of a prompt took that ended now. It is for prompts that shared their engine with
// no other prefill.
func (b *Board) RecordPrefillTime(id string, tokens int, now time.Time, elapsed time.Duration) {
	if tokens < minTimedPromptTokens || elapsed <= 0 {
		return
	}
	b.withState(id, func(s *state) {
		perMs := float64(tokens) / (elapsed.Seconds() * 1000)
		s.prefillTokensPerMs = movingAverage(s.prefillTokensPerMs, perMs*b.slowdownLocked(s, now))
	})
}

// RecordDecodeTime records how long an engine took for the output tokens after the first event.
func (b *Board) RecordDecodeTime(id string, tokens int, elapsed time.Duration) {
	if tokens < minTimedOutputTokens || elapsed <= 0 {
		return
	}
	b.withState(id, func(s *state) { s.msPerToken = movingAverage(s.msPerToken, elapsed.Seconds()*1000/float64(tokens)) })
}

// TokenTime returns the time per output token of an engine; zero if none was measured.
func (b *Board) TokenTime(id string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.states[id]
	if s == nil {
		return 0
	}
	return time.Duration(s.msPerToken * float64(time.Millisecond))
}

// MedianTokenTime returns the median of the times per output token of a service's decode engines; zero if none was measured.
func (b *Board) MedianTokenTime(service string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	var measured []float64
	for _, s := range b.states {
		if s.usable() && s.info.Service == service && s.info.Stage == fleet.StageDecode && s.msPerToken > 0 {
			measured = append(measured, s.msPerToken)
		}
	}
	if len(measured) == 0 {
		return 0
	}
	slices.Sort(measured)
	return time.Duration(measured[len(measured)/2] * float64(time.Millisecond))
}

// minTimedOutputTokens is the shortest output from which the decode speed is measured. The time of a shorter one says little
// about the speed of the engine.
const minTimedOutputTokens = 100

// minTimedPromptTokens is the shortest prompt from which the prefill speed is measured. The time of a shorter one says little
// about the speed of the engine.
const minTimedPromptTokens = 500

// movingAverage returns the exponential moving average after a new observation; an old value of 0 means none yet.
func movingAverage(old, value float64) float64 {
	if old == 0 {
		return value
	}
	return old + observationWeight*(value-old)
}

// withState calls apply with the state of an upstream, if it is known, while holding mu.
func (b *Board) withState(id string, apply func(s *state)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s, ok := b.states[id]; ok {
		apply(s)
	}
}
