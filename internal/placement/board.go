// Package placement chooses the upstreams of a request from what this process knows: the announced list, its own work under
// way, and how each upstream answered. It does no I/O; time comes in with each call.
//
// It answers two load patterns. In a burst on a plain service, work stays in the caller's data centre until the upstream
// there queues, and then spreads by expected wait. In a burst on a model, a decode engine processes the prompt itself while
// that costs less than a prefill engine with a transfer, and prefill engines take what would make running streams pause.
package placement

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/fulmardoor/fulmardoor/internal/fleet"
)

const (
	// failureWeight is the share of the newest answer in the failure average.
	failureWeight = 0.2
	// failureHalfLife lets an avoided upstream return: its failure average halves in this time without answers.
	failureHalfLife = 4 * time.Second
	// suspectMin and suspectMax bound how long an upstream that did not answer at all gets no work; it doubles each time.
	suspectMin = time.Second
	suspectMax = 8 * time.Second
	// busyWindow is how recently an upstream must have sent something to count as busy in place of silent.
	busyWindow = 500 * time.Millisecond
	// reportedLoadAge is how long a load that an upstream told counts beside the own work.
	reportedLoadAge = time.Second
	// speedWeight is the share of the newest observation in a learnt speed.
	speedWeight = 0.3
	// defaultReadPerMs is the assumed prompt tokens a millisecond at a prefill engine before any was observed.
	defaultReadPerMs = 30
	// decodeReadShare is the speed of a decode engine on a prompt, against a prefill engine.
	decodeReadShare = 0.5
)

// state is what this process knows of one upstream.
type state struct {
	info *fleet.Upstream
	// gone is set when the upstream is no longer announced; its requests under way still count down.
	gone bool

	// own is the work of this process, others that of the other processes.
	own, others Share

	load   Load
	loadAt time.Time

	failures   float64 // 0 to 1
	failuresAt time.Time

	// refusedAt is when the engine last had no room for a request.
	refusedAt time.Time
	// aliveAt is when the upstream last sent anything.
	aliveAt time.Time

	suspectUntil time.Time
	suspicions   int
	// probes is the number of requests under way that began while the upstream had not answered since it was suspected.
	probes int

	readPerMs float64 // learnt speed on prompts; 0 if not observed
	tokenMs   float64 // learnt time of an output token; 0 if not observed
	answerMs  float64 // learnt time of a plain answer; 0 if not observed
}

// Share is the work that processes have under way at an upstream.
type Share struct {
	Running, Reading, ReadTokens int
	// Memory is what the running requests are expected to fill, in tokens.
	Memory int
}

func (s *Share) add(other Share, sign int) {
	s.Running += sign * other.Running
	s.Reading += sign * other.Reading
	s.ReadTokens += sign * other.ReadTokens
	s.Memory += sign * other.Memory
}

// Load is what an upstream says of itself.
type Load struct{ Running, Waiting, Slots int }

// Board keeps the state of all upstreams. Its methods may be called concurrently.
type Board struct {
	dataCentre string
	random     *rand.Rand

	// ownChanged is called without mu held after the work of this process changed, roomChanged after any work ended.
	ownChanged, roomChanged func()

	mu     sync.Mutex // guards the fields below and random
	states map[string]*state
	// partial is set while the work of some other process is not known.
	partial bool
	// peers has the work of each other process, by upstream.
	peers map[string]map[string]Share
}

// NewBoard returns an empty board for a process in dataCentre. A nil source draws a seed.
func NewBoard(dataCentre string, source rand.Source) *Board {
	if source == nil {
		source = rand.NewPCG(rand.Uint64(), rand.Uint64())
	}
	return &Board{dataCentre: dataCentre, random: rand.New(source), states: make(map[string]*state),
		peers: make(map[string]map[string]Share), ownChanged: func() {}, roomChanged: func() {}}
}

// OnChange sets the functions that are called after the work of this process changed, and when there may be more room.
// They must be set before the board is used.
func (b *Board) OnChange(own, room func()) { b.ownChanged, b.roomChanged = own, room }

// Own returns the work of this process by upstream.
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

// SetOthers takes the work of another process; nil removes it.
func (b *Board) SetOthers(process string, shares map[string]Share) {
	b.mu.Lock()
	for id, share := range b.peers[process] {
		if s := b.states[id]; s != nil {
			s.others.add(share, -1)
		}
	}
	b.peers[process] = shares
	for id, share := range shares {
		if s := b.states[id]; s != nil {
			s.others.add(share, 1)
		}
	}
	b.mu.Unlock()
	b.roomChanged()
}

// SetPartial tells whether the work of some other process is not known.
func (b *Board) SetPartial(partial bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.partial = partial
}

// newState returns the state of an upstream that was just announced, with the work that other processes told of.
func (b *Board) newState(info *fleet.Upstream) *state {
	s := &state{info: info}
	for _, shares := range b.peers {
		s.others.add(shares[info.ID], 1)
	}
	return s
}

// Change is a difference between two lists of upstreams.
type Change struct {
	Upstream *fleet.Upstream
	// What is "joined", "leaving", "restarted", "moved" or "gone".
	What string
}

// Update takes a new list of upstreams and returns what changed. An upstream that was announced as leaving stays so for
// its incarnation, even if an older list says otherwise.
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
		if !s.gone {
			changes = append(changes, Change{s.info, "gone"})
		}
		s.gone = true
	}
	return changes
}

// update takes a newer announcement of the same incarnation and names the change; the empty string means none.
func (s *state) update(info *fleet.Upstream) string {
	change := ""
	switch {
	case info.Leaving && !s.info.Leaving:
		change = "leaving"
	case s.gone:
		change = "joined"
	case info.Stage != s.info.Stage:
		change = "moved"
	}
	if s.info.Leaving && !info.Leaving {
		kept := *info
		kept.Leaving = true
		info = &kept
	}
	s.info, s.gone = info, false
	return change
}

// Sweep forgets upstreams that are gone and without work.
func (b *Board) Sweep() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, s := range b.states {
		if s.gone && s.own == (Share{}) {
			delete(b.states, id)
		}
	}
}

// Count returns the number of upstreams that may get work, by service.
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

func (s *state) usable() bool { return !s.gone && !s.info.Leaving }

// failureRate returns the failure average, decayed to now.
func (s *state) failureRate(now time.Time) float64 {
	if s.failures == 0 {
		return 0
	}
	return s.failures * math.Exp2(-float64(now.Sub(s.failuresAt))/float64(failureHalfLife))
}

// suspect reports whether the upstream recently did not answer. After its pause one request at a time finds out whether it
// answers again: an engine that ended looks empty, and would draw all requests until the first of them has failed.
func (s *state) suspect(now time.Time) bool { return now.Before(s.suspectUntil) || s.probes > 0 }

// trusted ends all suspicion.
func (s *state) trusted() {
	s.suspicions, s.probes, s.suspectUntil = 0, 0, time.Time{}
}

// Answered notes an answer of an upstream. failed tells that it was an error of the upstream.
func (b *Board) Answered(id string, now time.Time, failed bool) {
	b.change(id, func(s *state) {
		rate := s.failureRate(now) * (1 - failureWeight)
		if failed {
			rate += failureWeight
		} else {
			s.trusted()
		}
		s.failures, s.failuresAt, s.aliveAt = rate, now, now
	})
}

// Refused notes that an engine had no room.
func (b *Board) Refused(id string, now time.Time) {
	b.change(id, func(s *state) { s.refusedAt = now })
}

// Alive notes that an upstream sent something.
func (b *Board) Alive(id string, now time.Time) {
	b.change(id, func(s *state) {
		s.aliveAt = now
		if !now.Before(s.suspectUntil) {
			s.trusted()
		}
	})
}

// Slow notes that an upstream did not send in time, and reports whether it is silent. One that sends on other connections is
// only busy.
func (b *Board) Slow(id string, now time.Time) (silent bool) {
	b.mu.Lock()
	s := b.states[id]
	busy := s != nil && now.Sub(s.aliveAt) < busyWindow
	b.mu.Unlock()
	if busy {
		return false
	}
	b.Silent(id, now)
	return true
}

// Replaced notes that another process has the address of an upstream: it ended, and the list does not say so yet.
func (b *Board) Replaced(id string, now time.Time) {
	b.change(id, func(s *state) { s.suspectUntil = now.Add(suspectMax) })
}

// Silent notes that an upstream refused a connection or broke it off.
func (b *Board) Silent(id string, now time.Time) {
	b.change(id, func(s *state) {
		if now.Before(s.suspectUntil) {
			return
		}
		pause := min(suspectMin<<min(s.suspicions, 8), suspectMax)
		s.suspicions++
		s.suspectUntil = now.Add(pause)
	})
}

// Reported notes the load that an upstream told with an answer.
func (b *Board) Reported(id string, now time.Time, load Load) {
	b.change(id, func(s *state) { s.load, s.loadAt = load, now })
}

// Took notes how long a plain answer took.
func (b *Board) Took(id string, elapsed time.Duration) {
	b.change(id, func(s *state) { s.answerMs = learn(s.answerMs, elapsed.Seconds()*1000) })
}

// Read notes how long a prompt took that had its engine's reading to itself.
func (b *Board) Read(id string, tokens int, elapsed time.Duration) {
	if tokens < minObservedTokens || elapsed <= 0 {
		return
	}
	b.change(id, func(s *state) { s.readPerMs = learn(s.readPerMs, float64(tokens)/(elapsed.Seconds()*1000)) })
}

// Streamed notes how long an engine took for output tokens after the first event.
func (b *Board) Streamed(id string, tokens int, elapsed time.Duration) {
	if tokens < minStreamedTokens || elapsed <= 0 {
		return
	}
	b.change(id, func(s *state) { s.tokenMs = learn(s.tokenMs, elapsed.Seconds()*1000/float64(tokens)) })
}

// minStreamedTokens is the shortest output whose time says something of the engine's speed.
const minStreamedTokens = 100

// minObservedTokens is the shortest prompt whose time says something of the engine's speed.
const minObservedTokens = 500

func learn(old, value float64) float64 {
	if old == 0 {
		return value
	}
	return old + speedWeight*(value-old)
}

func (b *Board) change(id string, apply func(s *state)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s, ok := b.states[id]; ok {
		apply(s)
	}
}
