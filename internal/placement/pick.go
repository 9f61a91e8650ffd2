package placement

import (
	"time"

	"github.com/fulmardoor/fulmardoor/internal/fleet"
)

const (
	// remotePlainCost is what sending a plain request to another data centre is worth avoiding, as waiting time. It is
	// about one service time, so that work leaves its data centre once it would queue there.
	remotePlainCost = 40 * time.Millisecond
	// remoteModelCost is the same for a model request, whose events also cross.
	remoteModelCost = 60 * time.Millisecond
	// transferCost is what moving a prompt's memory is worth avoiding, as waiting time; a move between data centres takes
	// twice as long and is priced higher.
	transferCost       = 40 * time.Millisecond
	remoteTransferCost = 120 * time.Millisecond
	// transferSetup is the time to begin a transfer.
	transferSetup = 4 * time.Millisecond
	// failureCost is the cost of an upstream that fails all requests.
	failureCost = 2 * time.Second
	// suspectCost keeps work from an upstream that does not answer while any other is there.
	suspectCost = 10 * time.Second
	// slowedStreamCost is what a prompt costs each stream that runs at the decode engine which processes it.
	slowedStreamCost = 60 * time.Millisecond
	// pausedStreamCost is the same if the stream's events are expected to come further apart than their target.
	pausedStreamCost = 300 * time.Millisecond
	// runningCost is the slow-down by one more request in a decode batch over a usual output.
	runningCost = 8 * time.Millisecond
	// streamTimeWeight is what a second of an expected stream is worth avoiding, as waiting time. A stream at an engine of
	// 0.6 times the usual speed holds its memory 1.7 times as long, and is lost more often when a process or engine ends.
	streamTimeWeight = 0.1
	// memoryShare is the part of an engine's memory that this process fills by its own estimate.
	memoryShare = 0.9
	// refusalPause is the time for which an engine that had no room is not asked again. About one request ends at a full
	// engine in this time.
	refusalPause = 150 * time.Millisecond
	// tightAfterRefusal is the time for which an engine that had no room is asked before a prompt is processed for it.
	tightAfterRefusal = 3 * time.Second
	// tightShare is the estimated use of an engine's memory from which it is asked first.
	tightShare = 0.6
	// defaultAnswerMs is the assumed time of a plain answer before any was observed.
	defaultAnswerMs = 50
)

// Query describes what is looked for.
type Query struct {
	Service *fleet.Service
	Now     time.Time
	// Excluded upstreams have refused or failed this request already.
	Excluded map[string]bool
	// PromptTokens and OutputTokens are the sizes of a model request; the output is an estimate.
	PromptTokens, OutputTokens int
	// PauseTarget is the longest pause between the events of a stream that is in time; zero means that none is known.
	PauseTarget time.Duration
	// Prefilled is the engine that already has the prompt's KV cache; nil for none.
	Prefilled *fleet.Upstream
	// Kept is a decode engine that probably has the prompt's KV cache from an earlier try; nil for none.
	Kept *fleet.Upstream
	// SelfOnly asks for a decode engine that processes the prompt itself.
	SelfOnly bool
}

// filter returns the upstreams of the service that may get the request.
func (b *Board) filter(q *Query, stage fleet.Stage) []*state {
	var out, doubtful []*state
	for id, s := range b.states {
		switch {
		case !s.usable() || s.info.Service != q.Service.Name || s.info.Stage != stage || q.Excluded[id]:
		case s.info.Doubtful:
			doubtful = append(doubtful, s)
		default:
			out = append(out, s)
		}
	}
	if len(out) == 0 {
		return doubtful
	}
	return out
}

// running is the number of requests of all processes.
func (s *state) running() int { return s.own.Running + s.others.Running }

// health is the cost of the answers that an upstream gave lately.
func (s *state) health(now time.Time) time.Duration {
	cost := time.Duration(s.failureRate(now) * float64(failureCost))
	if s.suspect(now) {
		cost += suspectCost
	}
	return cost
}

// Plain returns the plain upstream with the least expected wait; ok is false if there is none.
func (b *Board) Plain(q Query) (chosen *fleet.Upstream, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.least(b.filter(&q, fleet.StageNone), func(s *state) time.Duration { return b.plainCost(s, q.Now) })
}

// plainCost is the expected wait for an answer and the price of the way there.
func (b *Board) plainCost(s *state, now time.Time) time.Duration {
	answer := s.answerMs
	if answer == 0 {
		answer = defaultAnswerMs
	}
	slots := max(1, s.info.Slots)
	work := s.running()
	if now.Sub(s.loadAt) < reportedLoadAge {
		work = max(work, s.load.Running+s.load.Waiting)
	}
	rounds := 1 + float64(max(0, work+1-slots))/float64(slots) + 0.1*float64(work)/float64(slots)
	cost := time.Duration(answer*rounds*float64(time.Millisecond)) + s.health(now)
	if s.info.DataCentre != b.dataCentre {
		cost += remotePlainCost
	}
	return cost
}

// least returns the state with the least cost; equal ones are drawn at random.
func (b *Board) least(states []*state, cost func(*state) time.Duration) (*fleet.Upstream, bool) {
	var best *state
	var bestCost time.Duration
	ties := 0
	for _, s := range states {
		c := cost(s)
		switch {
		case best == nil || c < bestCost:
			best, bestCost, ties = s, c, 1
		case c == bestCost:
			ties++
			if b.random.IntN(ties) == 0 {
				best = s
			}
		}
	}
	if best == nil {
		return nil, false
	}
	return best.info, true
}

// Plan says where a model request runs. Without Prefill the decode engine processes the prompt itself.
type Plan struct {
	Prefill, Decode *fleet.Upstream
	// Expected is the estimated time to the first token.
	Expected time.Duration
	// Tight is set when room at the decode engine is uncertain: it is nearly full, refused or was silent lately, or some
	// other process has not told its work.
	Tight bool
}

// Model returns the cheapest plan; ok is false if no decode engine has room.
func (b *Board) Model(q Query) (Plan, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	plan, ok := b.plan(q)
	if ok {
		plan.Tight = plan.Prefill != nil && b.tight(&q, b.states[plan.Decode.ID])
	}
	return plan, ok
}

// tight reports whether an engine may have less room than the estimate says.
func (b *Board) tight(q *Query, s *state) bool {
	if b.partial || s.suspicions > 0 || q.Now.Sub(s.refusedAt) < tightAfterRefusal {
		return true
	}
	memory := s.own.Memory + s.others.Memory + q.PromptTokens + q.OutputTokens
	return q.Service.Engine != nil && float64(memory) > tightShare*float64(q.Service.Engine.KVTokens)
}

func (b *Board) plan(q Query) (plan Plan, ok bool) {
	decoders := b.roomy(&q, answering(b.filter(&q, fleet.StageDecode), q.Now))
	if q.Prefilled != nil {
		return b.fetch(&q, decoders)
	}
	if kept := b.kept(&q); kept != nil {
		return Plan{Decode: kept.info}, true
	}
	var best time.Duration
	for _, d := range decoders {
		read := b.readTime(d, q.PromptTokens, decodeReadShare)
		cost := read + b.decodeCost(d, &q) + time.Duration(d.running())*streamPauseCost(d, &q, read)
		if plan.Decode == nil || cost < best {
			best, plan = cost, Plan{Decode: d.info, Expected: read}
		}
	}
	if q.SelfOnly {
		return plan, plan.Decode != nil
	}
	for _, p := range b.filter(&q, fleet.StagePrefill) {
		read := b.readTime(p, q.PromptTokens, 1)
		for _, d := range decoders {
			move := transferTime(q.Service.Engine, q.PromptTokens, p.info.DataCentre == d.info.DataCentre)
			cost := read + move + b.decodeCost(d, &q) + p.health(q.Now) + transferCost
			if p.info.DataCentre != d.info.DataCentre {
				cost += remoteTransferCost - transferCost
			}
			if cost < best {
				best, plan = cost, Plan{Prefill: p.info, Decode: d.info, Expected: read + move}
			}
		}
	}
	return plan, plan.Decode != nil
}

// kept returns the engine that probably has the prompt, nil for none. The answer that broke off there made it a suspect, so
// suspicion does not count.
func (b *Board) kept(q *Query) *state {
	if q.Kept == nil {
		return nil
	}
	for _, d := range b.roomy(q, b.filter(q, fleet.StageDecode)) {
		if d.info.ID == q.Kept.ID && d.info.Incarnation == q.Kept.Incarnation {
			return d
		}
	}
	return nil
}

// fetch returns the best decode engine for a prompt that was prefilled already.
func (b *Board) fetch(q *Query, decoders []*state) (plan Plan, ok bool) {
	plan.Decode, ok = b.least(decoders, func(d *state) time.Duration {
		cost := b.decodeCost(d, q)
		if d.info.DataCentre != q.Prefilled.DataCentre {
			cost += remoteTransferCost
		}
		return cost
	})
	return plan, ok
}

// answering leaves out the engines that do not answer, unless none does: a request had better wait for room at another.
func answering(engines []*state, now time.Time) []*state {
	kept := make([]*state, 0, len(engines))
	for _, s := range engines {
		if !s.suspect(now) {
			kept = append(kept, s)
		}
	}
	if len(kept) == 0 {
		return engines
	}
	return kept
}

// roomy keeps the engines with a free slot and memory for the request, by the own estimate.
func (b *Board) roomy(q *Query, engines []*state) []*state {
	kept := engines[:0]
	for _, s := range engines {
		memory := s.own.Memory + s.others.Memory + q.PromptTokens + q.OutputTokens
		fits := q.Service.Engine == nil || float64(memory) <= memoryShare*float64(q.Service.Engine.KVTokens) || s.running() == 0
		if q.Now.Sub(s.refusedAt) < refusalPause {
			continue
		}
		if fits && (s.info.Slots == 0 || s.running() < s.info.Slots) {
			kept = append(kept, s)
		}
	}
	return kept
}

// streamPauseCost is what each stream at a decode engine loses by a prompt that the engine processes in read, with those
// before it. The engine processes a part of the prompt before each token, so that about the whole of it falls between two
// events.
func streamPauseCost(s *state, q *Query, read time.Duration) time.Duration {
	usual := time.Duration(s.tokenMs * float64(q.Service.Engine.TokensPerEvent) * float64(time.Millisecond))
	if q.PauseTarget > 0 && usual+read > q.PauseTarget {
		return pausedStreamCost
	}
	return slowedStreamCost
}

// decodeCost is the price of an output at an engine.
func (b *Board) decodeCost(s *state, q *Query) time.Duration {
	cost := time.Duration(s.running())*runningCost + s.health(q.Now)
	cost += time.Duration(streamTimeWeight * s.tokenMs * float64(q.OutputTokens) * float64(time.Millisecond))
	if s.info.DataCentre != b.dataCentre {
		cost += remoteModelCost
	}
	return cost
}

// readTime is the expected time until a prompt has been processed behind those under way.
func (b *Board) readTime(s *state, tokens int, share float64) time.Duration {
	perMs := s.readPerMs
	if perMs == 0 {
		perMs = defaultReadPerMs * share
	}
	return time.Duration(float64(s.own.ReadTokens+s.others.ReadTokens+tokens) / perMs * float64(time.Millisecond))
}

// transferTime is the expected time to move the memory of a prompt.
func transferTime(engine *fleet.Engine, tokens int, near bool) time.Duration {
	if engine == nil || engine.LinkMbps == 0 {
		return transferSetup
	}
	seconds := float64(tokens) * engine.KVTokenBytes * 8 / (engine.LinkMbps * 1e6)
	if !near {
		seconds *= 2
	}
	return transferSetup + time.Duration(seconds*float64(time.Second))
}
