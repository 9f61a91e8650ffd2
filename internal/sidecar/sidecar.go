// Package sidecar implements the process beside one upstream. It grants the places of the upstream to the entry processes;
// one request at a time runs on each place. It makes the last checks before work runs at the upstream.
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
	eventCapacity     = 8192
	superviseInterval = 250 * time.Millisecond
	// stalledCallLimit is how long the calls of a stalled model engine go on. Entries stop waiting for another engine after as long.
	stalledCallLimit = 10 * time.Second
)

// Upstream runs work at the upstream and tracks its state.
type Upstream interface {
	// Run does the work of a call, emits the frames of its response and returns its outcome.
	Run(c *call.Call, work *wirev1.Work, progress func(tokens int)) *wirev1.Outcome
	// Quote estimates when a prefill would be ready.
	Quote(req *wirev1.QuoteRequest, load *wirev1.Load) *wirev1.QuoteReply
	// FillLoad adds the measured speed of the upstream to a load report.
	FillLoad(load *wirev1.Load)
	// Release frees the resources that a finished call still holds at the upstream.
	Release(id call.ID)
	// Stalled reports whether the running work makes no progress.
	Stalled() bool
	// Probe checks with a short request whether the upstream responds. If it succeeds, a stalled upstream does not count as
	// stalled any more.
	Probe(ctx context.Context) error
	// Order sends an order to the engine.
	Order(ctx context.Context, fencingNumber uint64, order *wirev1.EngineOrder) error
	// Start aborts the work that an earlier sidecar process left at the upstream. It may start background work that ends
	// with ctx.
	Start(ctx context.Context) error
}

// Config configures a Sidecar.
type Config struct {
	Settings *configv1.SidecarSettings
	// Store is used to confirm fencing numbers.
	Store    kv.Store
	Upstream Upstream
	// PeerLimits bound what other processes use; nil for no limits.
	PeerLimits *transport.Limits
	Logger     *zap.Logger
}

// Sidecar is a sidecar process.
type Sidecar struct {
	settings *configv1.SidecarSettings
	limits   *transport.Limits
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
	// responded is set once the upstream has responded.
	responded atomic.Bool

	// executing is the number of open streams of execute requests, from the request to the end of the response.
	executing atomic.Int64

	mu                   sync.Mutex // guards the fields below
	reservations         map[call.ID]*places.Reservation
	sessions             map[*transport.Session]struct{}
	leaveReasons         leaveReasons
	highestFencingNumber uint64
	// crashNonce is the nonce of the last crash of the upstream, which broke its first call at crashedAt.
	crashNonce *wirev1.Nonce
	crashedAt  time.Time
}

// leaveReasons are the reasons for which the upstream accepts no new work.
type leaveReasons struct {
	// starting is set until Upstream.Start has aborted the work of an earlier process, which would abort new work, too.
	starting bool
	document bool // the configuration declares the upstream leaving
	operator bool // an operator ordered a drain
	stop     bool // the process is stopping
}

func (l leaveReasons) any() bool { return l.starting || l.document || l.operator || l.stop }

// New returns a sidecar. It accepts no work before Run.
func New(cfg Config) *Sidecar {
	process := cfg.Settings.GetProcess()
	hello := transport.NewHello(wirev1.Role_ROLE_SIDECAR, process, cfg.Settings.GetPeers().GetListen())
	s := &Sidecar{
		settings:     cfg.Settings,
		limits:       cfg.PeerLimits,
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
	s.leaveReasons.starting = true
	s.places.Drain()
	s.metrics = metrics.NewSidecar(s.load)
	s.limits.Report(s.metrics.Registry, cfg.Logger)
	s.store = metrics.InstrumentStore(s.metrics.Registry, cfg.Store)
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

// Events returns the event recorder of the process.
func (s *Sidecar) Events() *events.Recorder { return s.events }

// Options returns the options for accepting sessions.
func (s *Sidecar) Options() *transport.Options {
	return &transport.Options{
		Limits:            s.limits,
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

// Run starts the upstream and watches for stalls until ctx ends.
func (s *Sidecar) Run(ctx context.Context) error {
	if err := s.upstream.Start(ctx); err != nil {
		return err
	}
	s.updateLeaveReasons(func(l *leaveReasons) { l.starting = false })
	// A model engine has responded to Start. Ready probes a plain service.
	s.responded.Store(s.role != wirev1.EngineRole_ENGINE_ROLE_SERVICE)
	go s.conf.Run(ctx)
	s.supervise(ctx)
	return nil
}

// applySnapshot applies the state that a configuration declares for the upstream.
func (s *Sidecar) applySnapshot(snapshot *confsync.Snapshot) {
	upstream, ok := snapshot.Upstream(s.settings.GetUpstream().GetName())
	leaving := ok && upstream.GetState() == document.StateLeaving
	s.events.SetConfigRevision(snapshot.Revision)
	s.events.Record("configuration_applied", "", s.settings.GetUpstream().GetName(),
		events.Field("revision", snapshot.Revision), events.Field("leaving", leaving))
	s.updateLeaveReasons(func(l *leaveReasons) { l.document = leaving })
}

// updateLeaveReasons changes the reasons for leaving. If the first is added or the last is removed, it drains the places or
// returns them to service, and informs the entries.
func (s *Sidecar) updateLeaveReasons(change func(*leaveReasons)) {
	s.mu.Lock()
	wasLeaving := s.leaveReasons.any()
	change(&s.leaveReasons)
	leaving := s.leaveReasons.any()
	s.mu.Unlock()
	if wasLeaving == leaving {
		return
	}
	if leaving {
		s.places.Drain()
	} else {
		s.places.ReturnToService()
	}
	s.logger.Info("upstream leaving", zap.Bool("leaving", leaving))
	s.events.Record("leaving", "", s.settings.GetUpstream().GetName(), events.Field("leaving", leaving))
	s.broadcastHeartbeat()
}

// supervise checks for stalls at an interval until ctx ends.
func (s *Sidecar) supervise(ctx context.Context) {
	ticker := time.NewTicker(superviseInterval)
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

// handleStall stops new work and probes the upstream until it works again. Running calls go on, because an upstream that is silent
// may still answer them, and entries move those that they can run elsewhere. Calls of a model engine are cancelled after
// stalledCallLimit; those of a plain service end at the timeout of their own route.
func (s *Sidecar) handleStall(ctx context.Context) {
	name := s.settings.GetUpstream().GetName()
	s.logger.Warn("upstream makes no progress", zap.String("upstream", name))
	s.events.Record("stalled", "", name)
	s.metrics.Stalled()
	s.places.SetStalled(true)
	s.broadcastHeartbeat()
	if s.role != wirev1.EngineRole_ENGINE_ROLE_SERVICE {
		timer := time.AfterFunc(stalledCallLimit, s.cancelStalledCalls)
		defer timer.Stop()
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
	s.places.SetStalled(false)
	s.events.Record("recovered", "", name)
	s.broadcastHeartbeat()
}

func (s *Sidecar) cancelStalledCalls() {
	for _, c := range s.calls.Running() {
		c.Cancel(call.ErrStalled)
	}
}

// Stop refuses new work, waits until the running calls have ended and their responses are delivered, or until ctx ends, and
// closes all sessions. It returns the number of calls that were cancelled; their outcomes are delivered within
// cancelledDeliveryLimit.
func (s *Sidecar) Stop(ctx context.Context) int {
	s.updateLeaveReasons(func(l *leaveReasons) { l.stop = true })
	s.events.Record("stopping", "", s.settings.GetUpstream().GetName())
	s.waitIdle(ctx)
	running := s.calls.Running()
	for _, c := range running {
		s.logger.Warn("call cancelled because the process stops", zap.Stringer("call", c.ID))
		c.Cancel(call.ErrStopping)
	}
	if len(running) > 0 {
		s.waitDelivered(cancelledDeliveryLimit)
	}
	for _, session := range s.sessionList() {
		session.Close()
	}
	return len(running)
}

// waitIdle waits until every call has ended, its response was acknowledged or given up, and no request has arrived for
// stopQuietPeriod. Requests that were in flight when the entries learnt of the stop then still get a refusal.
func (s *Sidecar) waitIdle(ctx context.Context) {
	ticker := time.NewTicker(idlePollInterval)
	defer ticker.Stop()
	lastBusy := time.Now()
	for {
		if !s.idle() {
			lastBusy = time.Now()
		}
		if time.Since(lastBusy) >= stopQuietPeriod {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// waitDelivered waits until the responses of all calls are delivered, at most for limit.
func (s *Sidecar) waitDelivered(limit time.Duration) {
	for begin := time.Now(); !s.idle() && time.Since(begin) < limit; {
		time.Sleep(idlePollInterval)
	}
}

func (s *Sidecar) idle() bool {
	s.mu.Lock()
	reservations := len(s.reservations)
	s.mu.Unlock()
	return reservations == 0 && s.executing.Load() == 0 && s.calls.Undelivered() == 0
}
