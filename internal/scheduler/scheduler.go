// Package scheduler chooses the upstreams of a request at an entry process, from load reports that lag and from what
// this process has learnt. The sidecar of each upstream has the final say.
package scheduler

import (
	"math/rand/v2"
	"sync"
	"time"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
)

const (
	// PrefillQuotes is the number of prefill candidates to quote.
	PrefillQuotes = 3
	// affinityQuotes is the number of them that are chosen by the prompt's first block.
	affinityQuotes = 2
	// DefaultDecodeReservations is the number of decode candidates asked at the same time; the first grant wins. With 2,
	// reports that lag leave some lists without requests that can still meet their target.
	DefaultDecodeReservations = 4
	// ServiceChoices is the number of upstreams of a plain service, the later ones for retries.
	ServiceChoices = 3
	// sampleSize limits the candidates that are scored for one choice. A sample also keeps entry processes with the same
	// reports from choosing the same upstream.
	sampleSize = 32
	// probesPerSample limits the random probes for a sample among candidates of other pools.
	probesPerSample = 16
)

// Candidate is an upstream as this process knows it.
type Candidate struct {
	Upstream   string
	Address    string
	Pool       string
	DataCentre string
	Role       wirev1.EngineRole
	// Load is the last report; nil if there was none.
	Load *wirev1.Load
	// LoadAge is the time since the report.
	LoadAge time.Duration
	// Connected says that the session to the sidecar is alive.
	Connected bool
}

// Request is what the choice needs to know of a request.
type Request struct {
	Account string
	// Model is the pool that serves the request.
	Model        string
	PromptTokens int
	MaxTokens    int
	// BlockHashes are the hashes of the prompt's blocks, first block first.
	BlockHashes []uint64
	// FirstTokenTarget is the route's target for the first token; zero for none.
	FirstTokenTarget time.Duration
	// Patience is the factor on the target above which a request is refused early; zero means 1.
	Patience float64
	// Priority of the caller; higher runs first within an account.
	Priority int32
	// Weight of the account in the fair order, its granted rate over the mean granted rate; zero means 1.
	Weight float64
	// Continued says that the request continues a broken stream from its delivered tokens.
	Continued bool
	// PrefillDataCentre is where the KV cache comes from; empty for the data centre of this process.
	PrefillDataCentre string
}

// Filter drops candidates that cannot take a request.
type Filter interface {
	// Keep reports whether the candidate can take the request.
	Keep(req *Request, c *Candidate) bool
}

// Scorer estimates what a candidate costs a request.
type Scorer interface {
	// Score returns the cost in seconds; the least is best.
	Score(req *Request, c *Candidate) float64
}

// Picker chooses among candidates.
type Picker interface {
	// Pick returns up to n different candidates, best first, that pass the filter.
	Pick(req *Request, candidates []Candidate, filter Filter, n int) []Candidate
}

// Config configures a Scheduler.
type Config struct {
	// DataCentre of this process.
	DataCentre string
	// Random is the source of random choices; it is used by one goroutine at a time. Default: seeded at random.
	Random rand.Source
	// DecodeReservations is the number of candidates that Decode returns. Default DefaultDecodeReservations.
	DecodeReservations int
	// MaxLoadAge is the age above which a report does not count as contact. Default 6 s, three heartbeats at the longest
	// interval.
	MaxLoadAge time.Duration
}

// Scheduler chooses upstreams. All methods may be called concurrently.
type Scheduler struct {
	config   Config
	random   lockedRandom
	learnt   *learnt
	affinity Picker
	prefill  Picker
	decode   Picker
	service  Picker
}

// New returns a Scheduler that has learnt nothing yet.
func New(config Config) *Scheduler {
	if config.Random == nil {
		config.Random = rand.NewPCG(rand.Uint64(), rand.Uint64())
	}
	if config.DecodeReservations <= 0 {
		config.DecodeReservations = DefaultDecodeReservations
	}
	if config.MaxLoadAge <= 0 {
		config.MaxLoadAge = 6 * time.Second
	}
	s := &Scheduler{config: config, learnt: newLearnt()}
	s.random.rand = rand.New(config.Random)
	s.affinity = rendezvousPicker{}
	s.prefill = &samplePicker{random: &s.random, scorer: &prefillScorer{s.learnt}, sample: 2}
	s.decode = &samplePicker{random: &s.random, scorer: &decodeScorer{s.learnt, config.DataCentre}, sample: sampleSize}
	s.service = &samplePicker{random: &s.random, scorer: &serviceScorer{s.learnt, config.DataCentre}, sample: sampleSize}
	return s
}

// Prefill returns up to PrefillQuotes prefill candidates to quote: two that the prompt's first block prefers, and the
// better of two random ones by load.
func (s *Scheduler) Prefill(req *Request, candidates []Candidate) []Candidate {
	return s.choose(wirev1.EngineRole_ENGINE_ROLE_PREFILL, func(filter Filter) []Candidate {
		var chosen []Candidate
		if len(req.BlockHashes) > 0 {
			chosen = s.affinity.Pick(req, candidates, filter, affinityQuotes)
		}
		rest := exceptFilter{filter, chosen}
		return append(chosen, s.prefill.Pick(req, candidates, rest, PrefillQuotes-len(chosen))...)
	})
}

// Decode returns up to Config.DecodeReservations decode candidates to ask for a reservation, best first.
func (s *Scheduler) Decode(req *Request, candidates []Candidate) []Candidate {
	return s.choose(wirev1.EngineRole_ENGINE_ROLE_DECODE, func(filter Filter) []Candidate {
		return s.decode.Pick(req, candidates, filter, s.config.DecodeReservations)
	})
}

// Service returns up to ServiceChoices upstreams of a plain service, best first.
func (s *Scheduler) Service(req *Request, candidates []Candidate) []Candidate {
	return s.choose(wirev1.EngineRole_ENGINE_ROLE_SERVICE, func(filter Filter) []Candidate {
		return s.service.Pick(req, candidates, filter, ServiceChoices)
	})
}

// ServiceByKey returns the upstream that every process with the same configuration chooses for an idempotency key, whether or
// not it can be reached now: another upstream would not know an earlier attempt.
func (s *Scheduler) ServiceByKey(key uint64, req *Request, candidates []Candidate) (Candidate, bool) {
	keyed := Request{Model: req.Model, BlockHashes: []uint64{key}}
	chosen := s.affinity.Pick(&keyed, candidates, poolFilter{wirev1.EngineRole_ENGINE_ROLE_SERVICE}, 1)
	if len(chosen) == 0 {
		return Candidate{}, false
	}
	return chosen[0], true
}

// poolFilter keeps all upstreams of the pool and role.
type poolFilter struct{ role wirev1.EngineRole }

// Keep implements Filter.
func (f poolFilter) Keep(req *Request, c *Candidate) bool {
	return c.Role == f.role && c.Pool == req.Model
}

// choose picks without the upstreams that have just failed, and with them if there are no others.
func (s *Scheduler) choose(role wirev1.EngineRole, pick func(Filter) []Candidate) []Candidate {
	filter := s.filter(role)
	chosen := pick(filter)
	if len(chosen) > 0 {
		return chosen
	}
	filter.learnt = nil
	return pick(filter)
}

func (s *Scheduler) filter(role wirev1.EngineRole) *servingFilter {
	return &servingFilter{role: role, maxAge: s.config.MaxLoadAge, learnt: s.learnt, now: time.Now()}
}

// servingFilter keeps connected upstreams of the pool that report that they take work and have not just failed.
type servingFilter struct {
	role   wirev1.EngineRole
	maxAge time.Duration
	// learnt knows the upstreams that have just failed; nil to keep those too.
	learnt *learnt
	now    time.Time
}

func (f *servingFilter) Keep(req *Request, c *Candidate) bool {
	if c.Role != f.role || !c.Connected || c.LoadAge > f.maxAge || c.Pool != req.Model {
		return false
	}
	if c.Load == nil || !c.Load.Accepting || c.Load.Stalled {
		return false
	}
	return f.learnt == nil || !f.learnt.avoided(c.Upstream, f.now)
}

// exceptFilter drops candidates that were chosen already.
type exceptFilter struct {
	Filter
	chosen []Candidate
}

func (f exceptFilter) Keep(req *Request, c *Candidate) bool {
	for i := range f.chosen {
		if f.chosen[i].Upstream == c.Upstream {
			return false
		}
	}
	return f.Filter.Keep(req, c)
}

// lockedRandom makes a random source safe for concurrent use.
type lockedRandom struct {
	mu   sync.Mutex
	rand *rand.Rand
}

// indexes fills out with random numbers below n.
func (r *lockedRandom) indexes(out []int32, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range out {
		out[i] = r.rand.Int32N(int32(n))
	}
}

func (r *lockedRandom) shuffle(items []*Candidate) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rand.Shuffle(len(items), func(i, j int) { items[i], items[j] = items[j], items[i] })
}
