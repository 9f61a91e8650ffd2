package bench

import (
	"context"
	"fmt"
	"sync"
	"time"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/places"
	"github.com/fulmardoor/fulmardoor/internal/scheduler"
)

const (
	stallLimit    = 2 * time.Second
	watchInterval = 100 * time.Millisecond
	engineRestart = 10 * time.Second
	resumeWindow  = 3 * time.Second
	speedKeep     = 0.9
	prefillRole   = wirev1.EngineRole_ENGINE_ROLE_PREFILL
	decodeRole    = wirev1.EngineRole_ENGINE_ROLE_DECODE
	prefillPlaces = 4
	unknownSpeed  = 20000
	importLimit   = 250 * time.Millisecond
)

// sidecar is a small fake around the real place authority and a fake engine.
type sidecar struct {
	name       string
	dataCentre string
	role       wirev1.EngineRole
	authority  *places.Authority
	prefill    *prefillEngine
	decode     *decodeEngine

	mu        sync.Mutex
	report    *wirev1.Load
	reported  time.Time
	speed     float64
	lastToken time.Time
	streams   map[*context.CancelCauseFunc]struct{}
}

// fleet holds the parts of one run.
type fleet struct {
	deployment Deployment
	sidecars   []*sidecar
	links      map[[2]string]*wire
}

func newFleet(d Deployment) *fleet {
	f := &fleet{deployment: d, links: make(map[[2]string]*wire)}
	for i := range d.PrefillSpeeds {
		engine := &prefillEngine{fault: newFault(), speed: d.Prefill(i), cache: make(map[uint64]time.Time)}
		s := f.add(fmt.Sprint("prefill-", i), i, prefillRole, prefillPlaces)
		s.prefill = engine
	}
	for i, gap := range d.DecodeGaps {
		s := f.add(fmt.Sprint("decode-", i), i, decodeRole, decodePlaces)
		s.decode = &decodeEngine{fault: newFault(), gap: gap}
	}
	for _, dc := range d.DataCentres {
		f.links[[2]string{"", dc}] = &wire{rate: d.LinkRate}
		f.links[[2]string{dc, dc}] = &wire{rate: 3 * d.LinkRate}
	}
	return f
}

func (f *fleet) add(name string, i int, role wirev1.EngineRole, n int) *sidecar {
	s := &sidecar{
		name:       name,
		dataCentre: f.deployment.DataCentres[i%len(f.deployment.DataCentres)],
		role:       role,
		authority:  places.New(places.Config{Places: n}),
		speed:      unknownSpeed,
		streams:    make(map[*context.CancelCauseFunc]struct{}),
	}
	f.sidecars = append(f.sidecars, s)
	return s
}

// link returns the link between two data centres.
func (f *fleet) link(from, to string) *wire {
	if from == to {
		return f.links[[2]string{from, to}]
	}
	return f.links[[2]string{"", to}]
}

// candidates returns the fleet as the entries see it, with reports that lag.
func (f *fleet) candidates() []scheduler.Candidate {
	var out []scheduler.Candidate
	for _, s := range f.sidecars {
		s.mu.Lock()
		out = append(out, scheduler.Candidate{
			Upstream:   s.name,
			Pool:       "model",
			DataCentre: s.dataCentre,
			Role:       s.role,
			Load:       s.report,
			LoadAge:    time.Since(s.reported),
			Connected:  true,
		})
		s.mu.Unlock()
	}
	return out
}

func (f *fleet) find(name string) *sidecar {
	for _, s := range f.sidecars {
		if s.name == name {
			return s
		}
	}
	return nil
}

// serve sends load reports and watches progress until ctx ends.
func (s *sidecar) serve(ctx context.Context) {
	s.heartbeat()
	beat := time.NewTicker(heartbeatInterval)
	defer beat.Stop()
	watch := time.NewTicker(watchInterval)
	defer watch.Stop()
	for {
		select {
		case <-beat.C:
			s.heartbeat()
		case <-watch.C:
			s.watch()
		case <-ctx.Done():
			return
		}
	}
}

func (s *sidecar) heartbeat() {
	load := &wirev1.Load{Upstream: s.name, EngineRole: s.role}
	s.authority.Load(load)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.prefill != nil {
		load.PrefillTokensPerSecond = s.speed
	}
	s.report = load
	s.reported = time.Now()
}

// watch ends the streams of an engine that makes no progress, and returns the engine to use when it does again.
func (s *sidecar) watch() {
	if s.decode == nil {
		return
	}
	_, stalled := s.decode.state()
	s.mu.Lock()
	silent := len(s.streams) > 0 && time.Since(s.lastToken) > stallLimit
	s.mu.Unlock()
	if silent {
		s.fail(errEngineStalled, stalled+watchInterval)
	}
}

// fail ends all streams and takes no work until the engine is back.
func (s *sidecar) fail(cause error, back time.Duration) {
	s.mu.Lock()
	for cancel := range s.streams {
		(*cancel)(cause)
	}
	s.mu.Unlock()
	s.authority.Stall(true)
	s.heartbeat()
	time.AfterFunc(back, func() {
		s.authority.Stall(false)
		s.heartbeat()
	})
}

// stream registers a decode stream, so that a failure ends it.
func (s *sidecar) stream(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.streams) == 0 {
		s.lastToken = time.Now()
	}
	s.streams[&cancel] = struct{}{}
	return ctx, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.streams, &cancel)
		cancel(nil)
	}
}

func (s *sidecar) token() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastToken = time.Now()
}

// learnSpeed learns from a finished prefill.
func (s *sidecar) learnSpeed(tokens int, elapsed time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if tokens > 0 && elapsed > 0 {
		s.speed = speedKeep*s.speed + (1-speedKeep)*float64(tokens)/elapsed.Seconds()
	}
}

// quote answers a QuoteRequest.
func (s *sidecar) quote(account string, prompt int, blocks []uint64) *wirev1.QuoteReply {
	var load wirev1.Load
	s.authority.Load(&load)
	cached := s.prefill.cached(blocks)
	wait := s.authority.WaitEstimate(account)
	s.mu.Lock()
	defer s.mu.Unlock()
	work := time.Duration(float64(prompt-cached) / s.speed * float64(time.Second))
	return &wirev1.QuoteReply{
		WaitMs:       uint32(wait.Milliseconds()),
		CachedTokens: uint32(cached),
		ReadyInMs:    uint32((wait + work).Milliseconds()),
		Accepting:    load.Accepting,
	}
}
