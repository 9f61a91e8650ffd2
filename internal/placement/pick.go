package placement

import (
	"slices"
	"time"

	"github.com/fulmardoor/fulmardoor/internal/fleet"
)

const (
	// The costs below are expressed as equivalent waiting time.

	// remotePlainCost is the cost of sending a plain request to another data centre. It is about one service time, so that
	// requests leave their data centre once they would queue there.
	remotePlainCost = 40 * time.Millisecond
	// remoteModelCost is the same for a model request, whose stream of events also crosses data centres.
	remoteModelCost = 60 * time.Millisecond
	// transferCost is the cost of transferring a prompt's KV cache, remoteTransferCost that of a transfer between data
	// centres, which takes twice as long.
	transferCost       = 40 * time.Millisecond
	remoteTransferCost = 120 * time.Millisecond
	// transferSetupTime is the time to set up a transfer.
	transferSetupTime = 4 * time.Millisecond
	// failureCost is the cost of an upstream that fails all requests; it is scaled by the failure average.
	failureCost = 2 * time.Second
	// suspectCost is so high that an upstream that does not answer is used only if there is no other.
	suspectCost = 10 * time.Second
	// slowedStreamCost is the cost of a prefill at a decode engine for each stream that runs there.
	slowedStreamCost = 60 * time.Millisecond
	// lateStreamCost replaces slowedStreamCost if the prompt is expected to delay an event of the stream beyond its target.
	lateStreamCost = 300 * time.Millisecond
	// batchSlowdownCost is the time that each running request in the decode batch adds to an output of typical length.
	batchSlowdownCost = 8 * time.Millisecond
	// streamTimeWeight is the cost of each second that the stream is expected to last. A stream at an engine of 0.6 times the
	// usual speed holds its memory 1.7 times as long, and is lost more often when a process or engine ends.
	streamTimeWeight = 0.1
	// memoryShare is the share of an engine's memory up to which requests are placed, by this process's estimate.
	memoryShare = 0.9
	// refusalBackoff is the time for which an engine that refused a request gets no other. About one request ends at a full
	// engine in this time.
	refusalBackoff = 150 * time.Millisecond
	// recentRefusalTime is the time after a refusal by a decode engine in which memory is reserved there before a prompt is
	// prefilled for it.
	recentRefusalTime = 3 * time.Second
	// uncertainMemoryShare is the estimated share of a decode engine's memory in use above which memory is reserved before the
	// prefill.
	uncertainMemoryShare = 0.6
	// defaultAnswerMs is the time of a plain answer assumed before one was measured.
	defaultAnswerMs = 50
)

// Query describes the request to place.
type Query struct {
	Service *fleet.Service
	Now     time.Time
	// Excluded holds the upstreams that already refused or failed this request.
	Excluded map[string]bool
	// PromptTokens and OutputTokens are the sizes of a model request; the latter is an estimate.
	PromptTokens, OutputTokens int
	// PauseTarget is the target for the time between two events of a stream; zero means none.
	PauseTarget time.Duration
	// PrefilledBy is the prefill engine that holds the prompt's KV cache for transfer; nil for none.
	PrefilledBy *fleet.Upstream
	// CachedAt is a decode engine that probably still has the prompt's KV cache from an earlier attempt; nil for none.
	CachedAt *fleet.Upstream
	// LocalPrefillOnly excludes prefill engines: the decode engine processes the prompt itself.
	LocalPrefillOnly bool
	// WithoutSuspects excludes upstreams that recently did not answer, even if there are no others.
	WithoutSuspects bool
}

// candidates returns the upstreams of the service that may get the request. Unconfirmed ones, whose entry is missing from
// the store since an outage, are used only if there are no others. The order is random, so that of several with the same cost each is as likely to be the
// first: many processes that see the same idle engines must not all choose the same one.
func (b *Board) candidates(q *Query, stage fleet.Stage) []*state {
	var confirmed, unconfirmed []*state
	for id, s := range b.states {
		switch {
		case !s.usable() || s.info.Service != q.Service.Name || s.info.Stage != stage || q.Excluded[id]:
		case s.isLimited(q.Now) || q.WithoutSuspects && s.isSuspect(q.Now):
		case s.info.Unconfirmed:
			unconfirmed = append(unconfirmed, s)
		default:
			confirmed = append(confirmed, s)
		}
	}
	if len(confirmed) == 0 {
		confirmed = unconfirmed
	}
	b.random.Shuffle(len(confirmed), func(i, j int) { confirmed[i], confirmed[j] = confirmed[j], confirmed[i] })
	return confirmed
}

// LimitedUntil returns the earliest time at which an upstream of the service may get the request, if the limits that the upstreams
// named, or their pauses, are the only reason why none may get it now; ok is false otherwise.
func (b *Board) LimitedUntil(q Query) (until time.Time, ok bool) {
	return b.earliest(q, func(s *state) time.Time { return s.takesNoneUntil(q.Now) })
}

// PausedUntil returns the earliest end of a pause, if all upstreams of the service that may get the request want none now; ok is
// false otherwise.
func (b *Board) PausedUntil(q Query) (until time.Time, ok bool) {
	return b.earliest(q, func(s *state) time.Time { return s.pausedUntil })
}

// earliest returns the earliest of the times until which the upstreams of the service take no request; ok is false if one takes it now.
func (b *Board) earliest(q Query, takesNoneUntil func(*state) time.Time) (until time.Time, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, s := range b.states {
		if !s.usable() || s.info.Service != q.Service.Name || s.info.Stage == fleet.StagePrefill || q.Excluded[id] {
			continue
		}
		at := takesNoneUntil(s)
		if !at.After(q.Now) {
			return time.Time{}, false
		}
		if !ok || at.Before(until) {
			until, ok = at, true
		}
	}
	return until, ok
}

// running returns the number of requests of all processes at the upstream.
func (s *state) running() int { return s.own.Running + s.others.Running }

// failurePenalty returns the cost of an upstream's recent failures.
func (s *state) failurePenalty(now time.Time) time.Duration {
	cost := time.Duration(s.failureRate(now) * float64(failureCost))
	if s.isSuspect(now) {
		cost += suspectCost
	}
	return cost
}

// PickPlain returns the plain upstream with the least expected wait; ok is false if there is none.
func (b *Board) PickPlain(q Query) (chosen *fleet.Upstream, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.cheapest(b.candidates(&q, fleet.StageNone), func(s *state) time.Duration { return b.plainCost(s, q.Now) })
}

// plainCost returns the expected time until the answer, plus the penalties for failures and for another data centre.
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
	// Each request beyond the slots adds 1/slots of an answer time. The last term makes the less loaded of two upstreams with
	// free slots cheaper.
	queueing := 1 + float64(max(0, work+1-slots))/float64(slots) + 0.1*float64(work)/float64(slots)
	cost := time.Duration(answer*b.slowdownLocked(s, now)*queueing*float64(time.Millisecond)) + s.failurePenalty(now)
	if s.info.DataCentre != b.dataCentre {
		cost += remotePlainCost
	}
	return cost
}

// cheapest returns the upstream with the lowest cost; ties are broken at random.
func (b *Board) cheapest(states []*state, cost func(*state) time.Duration) (*fleet.Upstream, bool) {
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
	// Expected is the estimated time to the first token. It is zero for a prompt that already has a KV cache at an engine.
	Expected time.Duration
	// CapacityUncertain is set when a prompt would be prefilled for a decode engine that may lack memory for it: its memory is
	// filled beyond uncertainMemoryShare, it recently refused a request or did not answer, or the work of at least one other
	// process is unknown.
	CapacityUncertain bool
}

// PlanModel returns the cheapest plan; ok is false if no decode engine has capacity.
func (b *Board) PlanModel(q Query) (Plan, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	plan, ok := b.plan(q)
	if ok {
		plan.CapacityUncertain = plan.Prefill != nil && b.capacityUncertain(&q, b.states[plan.Decode.ID])
	}
	return plan, ok
}

// maxRoom is the room of an engine whose requests nothing limits.
const maxRoom = 1 << 20

// Room returns for how many requests of the size of q the engines that PlanModel would use have free slots and memory.
func (b *Board) Room(q Query) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	decoders := b.withCapacity(&q, withoutSuspects(b.candidates(&q, fleet.StageDecode), q.Now))
	if cached := b.cachedEngine(&q); cached != nil && !slices.Contains(decoders, cached) {
		decoders = append(decoders, cached)
	}
	room := 0
	for _, s := range decoders {
		room += s.room(&q)
	}
	return room
}

// room returns for how many requests of the size of q an engine with capacity for one has it.
func (s *state) room(q *Query) int {
	room := maxRoom
	if s.info.Slots > 0 {
		room = s.info.Slots - s.running()
	}
	if size := q.PromptTokens + q.OutputTokens; size > 0 && q.Service.Engine != nil {
		free := int(memoryShare*float64(q.Service.Engine.KVTokens)) - s.own.Memory - s.others.Memory
		room = min(room, max(1, free/size)) // an engine without requests takes one of any size
	}
	return room
}

// capacityUncertain reports whether an engine may have less free memory than estimated.
func (b *Board) capacityUncertain(q *Query, s *state) bool {
	if b.peersIncomplete || s.suspectCount > 0 || q.Now.Sub(s.refusedAt) < recentRefusalTime {
		return true
	}
	memory := s.own.Memory + s.others.Memory + q.PromptTokens + q.OutputTokens
	return q.Service.Engine != nil && float64(memory) > uncertainMemoryShare*float64(q.Service.Engine.KVTokens)
}

func (b *Board) plan(q Query) (plan Plan, ok bool) {
	decoders := b.withCapacity(&q, withoutSuspects(b.candidates(&q, fleet.StageDecode), q.Now))
	if q.PrefilledBy != nil {
		return b.planFetch(&q, decoders)
	}
	if cached := b.cachedEngine(&q); cached != nil {
		return Plan{Decode: cached.info}, true
	}
	var best time.Duration
	for _, d := range decoders {
		prefill := b.prefillTime(d, &q, decodePrefillSpeedRatio)
		cost := prefill + b.decodeCost(d, &q) + time.Duration(d.running())*streamDelayCost(d, &q, prefill)
		if plan.Decode == nil || cost < best {
			best, plan = cost, Plan{Decode: d.info, Expected: prefill}
		}
	}
	if q.LocalPrefillOnly {
		return plan, plan.Decode != nil
	}
	for _, p := range b.candidates(&q, fleet.StagePrefill) {
		prefill := b.prefillTime(p, &q, 1)
		for _, d := range decoders {
			transfer := transferTime(q.Service.Engine, q.PromptTokens, p.info.DataCentre == d.info.DataCentre)
			cost := prefill + transfer + b.decodeCost(d, &q) + p.failurePenalty(q.Now) + transferCost
			if p.info.DataCentre != d.info.DataCentre {
				cost += remoteTransferCost - transferCost
			}
			if cost < best {
				best, plan = cost, Plan{Prefill: p.info, Decode: d.info, Expected: prefill + transfer}
			}
		}
	}
	return plan, plan.Decode != nil
}

// cachedEngine returns the engine that probably still has the prompt's KV cache; nil for none. It may be a suspect, because an
// engine becomes one when the answer of the earlier attempt is cut off.
func (b *Board) cachedEngine(q *Query) *state {
	if q.CachedAt == nil {
		return nil
	}
	for _, d := range b.withCapacity(q, b.candidates(q, fleet.StageDecode)) {
		if d.info.ID == q.CachedAt.ID && d.info.Incarnation == q.CachedAt.Incarnation {
			return d
		}
	}
	return nil
}

// planFetch returns the best decode engine for a prompt whose KV cache is fetched from a prefill engine.
func (b *Board) planFetch(q *Query, decoders []*state) (plan Plan, ok bool) {
	plan.Decode, ok = b.cheapest(decoders, func(d *state) time.Duration {
		cost := b.decodeCost(d, q)
		if d.info.DataCentre != q.PrefilledBy.DataCentre {
			cost += remoteTransferCost
		}
		return cost
	})
	return plan, ok
}

// withoutSuspects returns the engines without the suspects, or all if all are suspects. Waiting for capacity at an engine
// that answers is better than trying one that does not.
func withoutSuspects(engines []*state, now time.Time) []*state {
	kept := make([]*state, 0, len(engines))
	for _, s := range engines {
		if !s.isSuspect(now) {
			kept = append(kept, s)
		}
	}
	if len(kept) == 0 {
		return engines
	}
	return kept
}

// withCapacity filters engines in place to those with a free slot and enough memory, by this process's estimate, that refused
// nothing within refusalBackoff. An engine without requests counts as having enough memory for any request.
func (b *Board) withCapacity(q *Query, engines []*state) []*state {
	kept := engines[:0]
	for _, s := range engines {
		memory := s.own.Memory + s.others.Memory + q.PromptTokens + q.OutputTokens
		fits := q.Service.Engine == nil || float64(memory) <= memoryShare*float64(q.Service.Engine.KVTokens) || s.running() == 0
		if q.Now.Sub(s.refusedAt) < refusalBackoff {
			continue
		}
		if fits && (s.info.Slots == 0 || s.running() < s.info.Slots) {
			kept = append(kept, s)
		}
	}
	return kept
}

// streamDelayCost returns the cost, for each stream at a decode engine, of prefilling a prompt there. prefill is the expected
// time for the prompt and those queued before it. The engine processes a part of the prompt before each token, so that nearly
// all of that time falls between two events.
func streamDelayCost(s *state, q *Query, prefill time.Duration) time.Duration {
	eventInterval := time.Duration(s.msPerToken * float64(q.Service.Engine.TokensPerEvent) * float64(time.Millisecond))
	if q.PauseTarget > 0 && eventInterval+prefill > q.PauseTarget {
		return lateStreamCost
	}
	return slowedStreamCost
}

// decodeCost returns the cost of generating the output at an engine.
func (b *Board) decodeCost(s *state, q *Query) time.Duration {
	cost := time.Duration(s.running())*batchSlowdownCost + s.failurePenalty(q.Now)
	cost += time.Duration(streamTimeWeight * s.msPerToken * float64(q.OutputTokens) * float64(time.Millisecond))
	if s.info.DataCentre != b.dataCentre {
		cost += remoteModelCost
	}
	return cost
}

// prefillTime returns the expected time until the prompt of a query has been processed, including the prompts queued before it.
// speedRatio scales the default speed while none was measured.
func (b *Board) prefillTime(s *state, q *Query, speedRatio float64) time.Duration {
	perMs := s.prefillTokensPerMs
	if perMs == 0 {
		perMs = defaultPrefillTokensPerMs * speedRatio
	}
	tokens := s.own.PrefillTokens + s.others.PrefillTokens + q.PromptTokens
	return time.Duration(float64(tokens) / perMs * b.slowdownLocked(s, q.Now) * float64(time.Millisecond))
}

// transferTime returns the expected time to transfer the KV cache of a prompt.
func transferTime(engine *fleet.Engine, tokens int, sameDataCentre bool) time.Duration {
	if engine == nil || engine.LinkMbps == 0 {
		return transferSetupTime
	}
	seconds := float64(tokens) * engine.KVTokenBytes * 8 / (engine.LinkMbps * 1e6)
	if !sameDataCentre {
		seconds *= 2
	}
	return transferSetupTime + time.Duration(seconds*float64(time.Second))
}
