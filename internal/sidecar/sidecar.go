// Package sidecar is the process beside one upstream: the authority on its places and the last gate before work runs.
package sidecar

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	configv1 "github.com/fulmardoor/fulmardoor/api/config/v1"
	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/call"
	"github.com/fulmardoor/fulmardoor/internal/confsync"
	"github.com/fulmardoor/fulmardoor/internal/document"
	"github.com/fulmardoor/fulmardoor/internal/events"
	"github.com/fulmardoor/fulmardoor/internal/kv"
	"github.com/fulmardoor/fulmardoor/internal/metrics"
	"github.com/fulmardoor/fulmardoor/internal/places"
	"github.com/fulmardoor/fulmardoor/internal/sidecar/role"
	"github.com/fulmardoor/fulmardoor/internal/transport"
	"github.com/fulmardoor/fulmardoor/internal/wait"
)

const (
	eventCapacity = 8192
	superviseTick = 250 * time.Millisecond
)

// Upstream runs work and keeps the upstream's state.
type Upstream interface {
	// Run does the work of a call, emits the frames of its answer and returns its end.
	Run(c *call.Call, work *wirev1.Work, progress func(tokens int)) *wirev1.Outcome
	// Quote estimates a prefill.
	Quote(req *wirev1.QuoteRequest, load *wirev1.Load) *wirev1.QuoteReply
	// FillLoad adds what the upstream has learnt.
	FillLoad(load *wirev1.Load)
	// Release frees what a finished call left at the upstream.
	Release(id call.ID)
	// Stalled reports whether running work makes no progress.
	Stalled() bool
	// Probe checks with a short request whether a stalled upstream works again.
	Probe(ctx context.Context) error
	// Order passes an engine order on.
	Order(ctx context.Context, fencingNumber uint64, order *wirev1.EngineOrder) error
	// Start clears what an earlier process left and keeps watch until ctx ends.
	Start(ctx context.Context) error
}

// Config configures a Sidecar.
type Config struct {
	Settings *configv1.SidecarSettings
	// Store confirms fencing numbers.
	Store    kv.Store
	Upstream Upstream
	Logger   *zap.Logger
}

// Sidecar is the state of the process.
type Sidecar struct {
	settings *configv1.SidecarSettings
	store    kv.Store
	upstream Upstream
	logger   *zap.Logger
	hello    *wirev1.Hello
	issuer   *transport.NonceIssuer
	calls    *call.Registry
	places   *places.Authority
	conf     *confsync.Node
	events   *events.Recorder
	role     wirev1.EngineRole
	metrics  *metrics.Sidecar
	traffic  *transport.Traffic
	// reached is set when the upstream has answered once.
	reached atomic.Bool

	// executing counts the streams of execute requests, from their first message to the end of their answer.
	executing atomic.Int64

	mu           sync.Mutex // guards the fields below
	reservations map[call.ID]*places.Reservation
	sessions     map[*transport.Session]struct{}
	leaving      leaving
	highestOrder uint64
}

// leaving lists who asked the upstream to take no new work.
type leaving struct {
	// starting is set until the upstream is cleared of what an earlier process left. The clearing would cut new work.
	starting bool
	document bool
	operator bool
	stop     bool
}

func (l leaving) any() bool { return l.starting || l.document || l.operator || l.stop }

// New returns a sidecar that takes no work before Run.
func New(cfg Config) *Sidecar {
	process := cfg.Settings.GetProcess()
	hello := transport.NewHello(wirev1.Role_ROLE_SIDECAR, process, cfg.Settings.GetPeers().GetListen())
	s := &Sidecar{
		settings:     cfg.Settings,
		upstream:     cfg.Upstream,
		logger:       cfg.Logger,
		hello:        transport.NewHello(wirev1.Role_ROLE_SIDECAR, process, cfg.Settings.GetPeers().GetListen()),
		issuer:       transport.NewNonceIssuer(hello.GetIncarnation()),
		places:       places.New(places.Config{Places: int(cfg.Settings.GetUpstream().GetPlaces()), Logger: cfg.Logger}),
		events:       events.New(process.GetName(), process.GetHost(), process.GetDataCentre(), eventCapacity),
		role:         role.Parse(cfg.Settings.GetUpstream().GetRole()),
		reservations: make(map[call.ID]*places.Reservation),
		sessions:     make(map[*transport.Session]struct{}),
		traffic:      new(transport.Traffic),
	}
	s.leaving.starting = true
	s.places.Drain()
	s.metrics = metrics.NewSidecar(s.load)
	s.store = metrics.Store(s.metrics.Registry, cfg.Store)
	s.calls = call.NewRegistry(s.issuer, cfg.Settings.GetUpstream().GetResumeWindow().AsDuration())
	s.conf = confsync.New(confsync.Config{
		Self: process.GetName(), DataCentre: process.GetDataCentre(), Peers: s, Logger: cfg.Logger,
	})
	s.conf.Subscribe(s.applySnapshot)
	metrics.WatchTraffic(s.metrics.Registry, s.traffic)
	metrics.WatchConfiguration(s.metrics.Registry, metrics.ConfigurationSource{
		Revision: func() uint64 { return s.conf.Current().Revision }, Age: s.conf.Age,
		State: func() string { return s.conf.State().String() }, States: confsync.StateNames(),
	})
	return s
}

// Events returns the recorder of the process.
func (s *Sidecar) Events() *events.Recorder { return s.events }

// Options returns the options for accepting sessions.
func (s *Sidecar) Options() *transport.Options {
	return &transport.Options{
		Hello:             s.hello,
		HeartbeatInterval: s.settings.GetPeers().GetHeartbeatInterval().AsDuration(),
		Heartbeat:         s.heartbeat,
		OnHeartbeat:       s.onHeartbeat,
		OnOpen:            s.addSession,
		OnClose:           s.removeSession,
		Traffic:           s.traffic,
		Clock:             s.events,
		Handler:           s,
		Logger:            s.logger,
	}
}

// Run starts the upstream's watch and the supervision of its progress; it returns when ctx ends.
func (s *Sidecar) Run(ctx context.Context) error {
	if err := s.upstream.Start(ctx); err != nil {
		return err
	}
	s.setLeaving(func(l *leaving) { l.starting = false })
	// A model engine has answered Start; whether a plain service answers is found out by Ready.
	s.reached.Store(s.role != wirev1.EngineRole_ENGINE_ROLE_SERVICE)
	go s.conf.Run(ctx)
	s.supervise(ctx)
	return nil
}

// applySnapshot takes the upstream's state from the configuration.
func (s *Sidecar) applySnapshot(snapshot *confsync.Snapshot) {
	upstream, ok := snapshot.Upstream(s.settings.GetUpstream().GetName())
	leavingNow := ok && upstream.GetState() == document.StateLeaving
	s.events.SetConfigRevision(snapshot.Revision)
	s.events.Record("configuration_applied", "", s.settings.GetUpstream().GetName(),
		events.Field("revision", snapshot.Revision), events.Field("leaving", leavingNow))
	s.setLeaving(func(l *leaving) { l.document = leavingNow })
}

// setLeaving changes the reasons to leave and opens or closes the gate.
func (s *Sidecar) setLeaving(change func(*leaving)) {
	s.mu.Lock()
	before := s.leaving.any()
	change(&s.leaving)
	after := s.leaving.any()
	s.mu.Unlock()
	if before == after {
		return
	}
	if after {
		s.places.Drain()
	} else {
		s.places.Return()
	}
	s.logger.Info("upstream leaving", zap.Bool("leaving", after))
	s.events.Record("leaving", "", s.settings.GetUpstream().GetName(), events.Field("leaving", after))
	s.beatAll()
}

// supervise looks for stalls and probes a stalled upstream until it works again.
func (s *Sidecar) supervise(ctx context.Context) {
	ticker := time.NewTicker(superviseTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if s.upstream.Stalled() {
			s.handleStall(ctx)
		}
	}
}

func (s *Sidecar) handleStall(ctx context.Context) {
	name := s.settings.GetUpstream().GetName()
	s.logger.Warn("upstream makes no progress", zap.String("upstream", name))
	s.events.Record("stalled", "", name)
	s.metrics.Stalled()
	s.places.Stall(true)
	s.beatAll()
	for _, c := range s.calls.Running() {
		c.Cancel(call.ErrStalled)
	}
	for ctx.Err() == nil {
		probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
		err := s.upstream.Probe(probeCtx)
		cancel()
		if err == nil {
			break
		}
		s.logger.Debug("probe failed", zap.String("upstream", name), zap.Error(err))
		wait.For(ctx, probeInterval)
	}
	s.places.Stall(false)
	s.events.Record("recovered", "", name)
	s.beatAll()
}

// Stop refuses new work, waits until running calls and their delivery end or ctx ends, and closes all sessions.
// It returns the number of calls that were cut.
func (s *Sidecar) Stop(ctx context.Context) int {
	s.setLeaving(func(l *leaving) { l.stop = true })
	s.events.Record("stopping", "", s.settings.GetUpstream().GetName())
	s.waitIdle(ctx)
	running := s.calls.Running()
	for _, c := range running {
		s.logger.Warn("call cut by stop", zap.Stringer("call", c.ID))
		c.Cancel(call.ErrStopping)
	}
	for _, session := range s.sessionList() {
		session.Close()
	}
	return len(running)
}

// waitIdle waits until every call has ended, its answer was acknowledged or given up, and nothing more has come for
// stopLinger: requests that were on their way when the entries learnt of the stop still get their refusal.
func (s *Sidecar) waitIdle(ctx context.Context) {
	ticker := time.NewTicker(idlePoll)
	defer ticker.Stop()
	busy := time.Now()
	for {
		if !s.idle() {
			busy = time.Now()
		}
		if time.Since(busy) >= stopLinger {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (s *Sidecar) idle() bool {
	s.mu.Lock()
	reserved := len(s.reservations)
	s.mu.Unlock()
	return reserved == 0 && s.executing.Load() == 0 && s.calls.Undelivered() == 0
}
