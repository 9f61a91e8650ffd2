// Package scheduler chooses the upstreams for a request in an entry process. It uses load reports, which lag, and what
// this process has observed itself. The sidecar of each upstream decides whether it accepts the request.
package scheduler

import (
	"math/rand/v2"
	"sync"
	"time"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
)

const (
	// PrefillQuotes is the number of prefill candidates that are asked for a quote.
	PrefillQuotes = 3
	// affinityQuotes is the number of those candidates that are chosen by the hash of the prompt's first block.
	affinityQuotes = 2
	// DefaultDecodeReservations is the number of decode candidates that are asked for a reservation at the same time;
	// the first grant is used. With only 2, some upstreams have no queued request that can still meet its target,
	// because load reports lag.
	DefaultDecodeReservations = 4
	// ServiceChoices is the number of upstreams chosen for a request to a plain service; all but the first are for
	// retries.
	ServiceChoices = 3
	// sampleSize is the number of random candidates that are scored for one choice. Sampling also prevents entry
	// processes with the same load reports from all choosing the same upstream.
	sampleSize = 32
	// probesPerSample is the number of random candidates tested per sample slot before all candidates are filtered. The
	// list also holds candidates of other pools, which the filter drops.
	probesPerSample = 16
)

// Candidate is an upstream with its state as known to this process.
type Candidate struct {
	Upstream   string
	Address    string
	Pool       string
	DataCentre string
	Role       wirev1.EngineRole
	// Load is the last load report; nil if there was none.
	Load *wirev1.Load
	// LoadAge is the time since the load report.
	LoadAge time.Duration
	// Connected is set while the session to the sidecar is alive.
	Connected bool
}

// Request holds the properties of a request that affect the choice of upstreams.
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
	// Patience is the multiple of FirstTokenTarget above which a request is refused early; zero means 1.
	Patience float64
	// Priority is set by the caller; a higher one is served first within an account.
	Priority int32
	// Weight is the account's weight in fair queueing, its granted rate over the mean granted rate; zero means 1.
	Weight float64
	// Continued is set if the request continues an interrupted stream after the tokens already delivered.
	Continued bool
	// PrefillDataCentre is the data centre that the KV cache is transferred from; empty for that of this process.
	PrefillDataCentre string
}

// Filter drops candidates that cannot take a request.
type Filter interface {
	// Keep reports whether the candidate can take the request.
	Keep(req *Request, c *Candidate) bool
}

// Scorer estimates the cost of serving a request on a candidate.
type Scorer interface {
	// Score returns the cost in seconds; the lowest is best.
	Score(req *Request, c *Candidate) float64
}

// Picker chooses among candidates.
type Picker interface {
	// Pick returns up to n different candidates, best first, that pass the filter.
	Pick(req *Request, candidates []Candidate, filter Filter, n int) []Candidate
}

// Config configures a Scheduler.
type Config struct {
	// DataCentre is the data centre of this process.
	DataCentre string
	// Random is the source of random choices; it is used by one goroutine at a time. Default: seeded at random.
	Random rand.Source
	// DecodeReservations is the number of candidates that Decode returns. Default DefaultDecodeReservations.
	DecodeReservations int
	// MaxLoadAge is the age of a load report above which the upstream counts as unreachable. Default 6 s, three
	// heartbeats at the longest interval.
	MaxLoadAge time.Duration
}

// Scheduler chooses upstreams. It is safe for concurrent use.
type Scheduler struct {
	config    Config
	random    lockedRandom
	estimates *estimates
	affinity  Picker
	prefill   Picker
	decode    Picker
	service   Picker
}

// New returns a Scheduler without observations.
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
	s := &Scheduler{config: config, estimates: newEstimates()}
	s.random.rand = rand.New(config.Random)
	s.affinity = rendezvousPicker{}
	s.prefill = &samplePicker{random: &s.random, scorer: &prefillScorer{s.estimates}, sample: 2}
	s.decode = &samplePicker{random: &s.random, scorer: &decodeScorer{s.estimates, config.DataCentre}, sample: sampleSize}
	s.service = &samplePicker{random: &s.random, scorer: &serviceScorer{s.estimates, config.DataCentre}, sample: sampleSize}
	return s
}

// Prefill returns up to PrefillQuotes prefill candidates to ask for a quote: two by rendezvous hash of the prompt's
// first block, and the less loaded of two random ones. For a prompt without block hashes, all are random.
func (s *Scheduler) Prefill(req *Request, candidates []Candidate) []Candidate {
	return s.pickWithFallback(wirev1.EngineRole_ENGINE_ROLE_PREFILL, func(filter Filter) []Candidate {
		var chosen []Candidate
		if len(req.BlockHashes) > 0 {
			chosen = s.affinity.Pick(req, candidates, filter, affinityQuotes)
		}
		unchosen := excludeFilter{filter, chosen}
		return append(chosen, s.prefill.Pick(req, candidates, unchosen, PrefillQuotes-len(chosen))...)
	})
}

// Decode returns up to Config.DecodeReservations decode candidates to ask for a reservation, best first.
func (s *Scheduler) Decode(req *Request, candidates []Candidate) []Candidate {
	return s.pickWithFallback(wirev1.EngineRole_ENGINE_ROLE_DECODE, func(filter Filter) []Candidate {
		return s.decode.Pick(req, candidates, filter, s.config.DecodeReservations)
	})
}

// Service returns up to ServiceChoices candidates for a request to a plain service, best first.
func (s *Scheduler) Service(req *Request, candidates []Candidate) []Candidate {
	return s.pickWithFallback(wirev1.EngineRole_ENGINE_ROLE_SERVICE, func(filter Filter) []Candidate {
		return s.service.Pick(req, candidates, filter, ServiceChoices)
	})
}

// ServiceByKey returns the upstream that every process with the same configuration chooses for an idempotency key. It
// may be unreachable at present, but only it knows about an earlier attempt.
func (s *Scheduler) ServiceByKey(key uint64, req *Request, candidates []Candidate) (Candidate, bool) {
	keyed := Request{Model: req.Model, BlockHashes: []uint64{key}}
	chosen := s.affinity.Pick(&keyed, candidates, poolFilter{wirev1.EngineRole_ENGINE_ROLE_SERVICE}, 1)
	if len(chosen) == 0 {
		return Candidate{}, false
	}
	return chosen[0], true
}

// poolFilter keeps all candidates of the request's pool and of one role.
type poolFilter struct{ role wirev1.EngineRole }

// Keep implements Filter.
func (f poolFilter) Keep(req *Request, c *Candidate) bool {
	return c.Role == f.role && c.Pool == req.Model
}

// pickWithFallback picks among the upstreams that have not failed recently, or among all if that leaves none.
func (s *Scheduler) pickWithFallback(role wirev1.EngineRole, pick func(Filter) []Candidate) []Candidate {
	filter := s.filter(role)
	chosen := pick(filter)
	if len(chosen) > 0 {
		return chosen
	}
	filter.estimates = nil
	return pick(filter)
}

func (s *Scheduler) filter(role wirev1.EngineRole) *servingFilter {
	return &servingFilter{role: role, maxAge: s.config.MaxLoadAge, estimates: s.estimates, now: time.Now()}
}

// servingFilter keeps connected candidates of the request's pool whose recent load report says that they accept work,
// and that have not failed recently.
type servingFilter struct {
	role   wirev1.EngineRole
	maxAge time.Duration
	// estimates tells which upstreams failed recently; nil to keep those too.
	estimates *estimates
	now       time.Time
}

func (f *servingFilter) Keep(req *Request, c *Candidate) bool {
	if c.Role != f.role || !c.Connected || c.LoadAge > f.maxAge || c.Pool != req.Model {
		return false
	}
	if c.Load == nil || !c.Load.Accepting || c.Load.Stalled {
		return false
	}
	return f.estimates == nil || !f.estimates.inCooldown(c.Upstream, f.now)
}

// excludeFilter wraps a Filter and also drops candidates that were already chosen.
type excludeFilter struct {
	Filter
	chosen []Candidate
}

func (f excludeFilter) Keep(req *Request, c *Candidate) bool {
	for i := range f.chosen {
		if f.chosen[i].Upstream == c.Upstream {
			return false
		}
	}
	return f.Filter.Keep(req, c)
}

// lockedRandom is a random number generator that is safe for concurrent use.
type lockedRandom struct {
	mu   sync.Mutex
	rand *rand.Rand
}

// indexes fills out with random integers from 0 to n-1.
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
