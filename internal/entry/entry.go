// Package entry is the process on an entry host. It serves the HTTP requests of callers: it checks keys, charges rates,
// chooses upstreams and retries.
package entry

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	configv1 "github.com/fulmardoor/fulmardoor/api/config/v1"
	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/call"
	"github.com/fulmardoor/fulmardoor/internal/confsync"
	"github.com/fulmardoor/fulmardoor/internal/events"
	"github.com/fulmardoor/fulmardoor/internal/hostlist"
	"github.com/fulmardoor/fulmardoor/internal/kv"
	"github.com/fulmardoor/fulmardoor/internal/ledger"
	"github.com/fulmardoor/fulmardoor/internal/membudget"
	"github.com/fulmardoor/fulmardoor/internal/metrics"
	"github.com/fulmardoor/fulmardoor/internal/quarantine"
	"github.com/fulmardoor/fulmardoor/internal/retry"
	"github.com/fulmardoor/fulmardoor/internal/scheduler"
	"github.com/fulmardoor/fulmardoor/internal/transport"
)

const (
	eventCapacity      = 32768
	keyCheckInterval   = time.Second
	queryRetryInterval = 50 * time.Millisecond
	// reserveRoundTrip is added to the wait of a reserve request for the network round trip.
	reserveRoundTrip = 250 * time.Millisecond
)

// Config configures an Entry.
type Config struct {
	Settings *configv1.EntrySettings
	Store    kv.Store
	// Hosts is the host list of the platform. If it is nil, only the entry processes in the settings are members.
	Hosts hostlist.Source
	// Connector connects to other processes.
	Connector transport.Connector
	// BodyMemory is the memory in bytes for the bodies of all requests and their copies; 0 for no limit.
	BodyMemory int64
	// PeerLimits bound what other processes use; nil for no limits.
	PeerLimits *transport.Limits
	// Seed is the seed of the random choices of the scheduler; 0 seeds them at random.
	Seed   uint64
	Logger *zap.Logger
}

// Entry is an entry process.
type Entry struct {
	settings         *configv1.EntrySettings
	store            kv.Store
	hosts            hostlist.Source
	logger           *zap.Logger
	hello            *wirev1.Hello
	sequence         atomic.Uint64
	meanRate         atomic.Uint64 // bits of a float64
	history          atomic.Uint64 // number of the store's history of the applied configuration
	conf             *confsync.Node
	ledger           *ledger.Node
	scheduler        *scheduler.Scheduler
	budget           *retry.Budget
	bodies           *membudget.Budget
	peerLimits       *transport.Limits
	events           *events.Recorder
	metrics          *metrics.Entry
	propagationDelay *metrics.PropagationDelay
	traffic          *transport.Traffic
	upstreams        *upstreamPool
	members          *memberTable
	admission        *admission
	// quarantine knows the requests that crash upstreams.
	quarantine *quarantine.List

	mu       sync.Mutex // guards the fields below
	running  map[*request]struct{}
	stopping bool
	ended    bool          // the time of the stop is over
	idle     chan struct{} // closed when the process is stopping and no request runs
}

// New returns an entry. It is ready to serve once Run has started.
func New(cfg Config) *Entry {
	process := cfg.Settings.GetProcess()
	e := &Entry{
		settings:  cfg.Settings,
		hosts:     cfg.Hosts,
		logger:    cfg.Logger,
		hello:     transport.NewHello(wirev1.Role_ROLE_ENTRY, process, cfg.Settings.GetPeers().GetListen()),
		scheduler: scheduler.New(scheduler.Config{DataCentre: process.GetDataCentre(), Random: randomSource(cfg.Seed)}),
		budget:    retry.NewBudget(),
		events:    events.New(process.GetName(), process.GetHost(), process.GetDataCentre(), eventCapacity),
		metrics:   metrics.NewEntry(),
		traffic:   new(transport.Traffic),
		idle:      make(chan struct{}),
		running:   make(map[*request]struct{}),
		bodies:    newBodyBudget(cfg.BodyMemory),

		peerLimits: cfg.PeerLimits,

		quarantine: quarantine.NewList(),
	}
	e.peerLimits.Report(e.metrics.Registry, cfg.Logger)
	e.admission = newAdmission(int(cfg.Settings.GetCallers().GetMaxRunning()))
	e.admission.observeWait = e.metrics.WaitedForAdmission
	e.propagationDelay = metrics.NewPropagationDelay(e.metrics.Registry)
	e.store = metrics.InstrumentStore(e.metrics.Registry, cfg.Store)
	e.upstreams = newUpstreamPool(process.GetName(), int(cfg.Settings.GetCallers().GetUpstreamSubset()), cfg.Connector, e.Options())
	e.members = newMemberTable(e.hello, cfg.Connector, e.Options(), cfg.Logger)
	e.conf = confsync.New(confsync.Config{
		Self: process.GetName(), DataCentre: process.GetDataCentre(), Store: e.store,
		Members: configMembers{e.members}, Peers: configPeers{e.members, e.upstreams}, Logger: cfg.Logger,
	})
	e.ledger = ledger.New(ledger.Config{
		Self: process.GetName(), Shards: int(cfg.Settings.GetLedger().GetShards()), Store: e.store,
		Limits: accountLimits{e.conf}, Members: ledgerMembers{e.members}, Network: e.members,
		Terminated: e.members.removedByPlatform, Logger: cfg.Logger,
	})
	e.quarantine.OnReport(e.sendPromptReport)
	e.registerCollectors()
	// The handlers of sessions use everything above, so the sessions are opened last.
	e.conf.Subscribe(e.applySnapshot)
	e.members.start(cfg.Settings.GetCallers().GetEntries())
	return e
}

// randomSource returns a source with a seed, or nil, which the scheduler seeds at random, if seed is 0.
func randomSource(seed uint64) rand.Source {
	if seed == 0 {
		return nil
	}
	return rand.NewPCG(seed, seed)
}

// accountLimits adapts the configuration to the ledger.
type accountLimits struct{ conf *confsync.Node }

// Limits implements ledger.LimitSource.
func (a accountLimits) Limits(account string) (ledger.Limits, bool) {
	declared, ok := a.conf.Current().Account(account)
	if !ok {
		return ledger.Limits{}, false
	}
	return ledger.Limits{Rate: declared.GetRate(), Burst: declared.GetBurst()}, true
}

// Options returns the options of sessions with other processes.
func (e *Entry) Options() *transport.Options {
	return &transport.Options{
		Limits:            e.peerLimits,
		Hello:             e.hello,
		HeartbeatInterval: e.settings.GetPeers().GetHeartbeatInterval().AsDuration(),
		Heartbeat:         e.heartbeat,
		OnHeartbeat:       e.onHeartbeat,
		OnOpen: func(s *transport.Session) {
			e.members.onSessionOpen(s)
			e.sendKnownCrashes(s)
		},
		OnClose: func(s *transport.Session) { e.propagationDelay.Forget(s.Remote().GetProcess()) },
		Traffic: e.traffic,
		Clock:   e.events,
		Handler: e,
		Logger:  e.logger,
	}
}

// Run runs the background work of links, configuration, ledger and membership until ctx ends.
func (e *Entry) Run(ctx context.Context) {
	var running sync.WaitGroup
	running.Go(func() { e.upstreams.run(ctx) })
	running.Go(func() { e.conf.Run(ctx) })
	running.Go(func() { e.ledger.Run(ctx) })
	running.Go(func() { e.members.run(ctx, e.hosts) })
	running.Go(func() { e.logWorstServed(ctx) })
	running.Wait()
}

// Events returns the event recorder of the process.
func (e *Entry) Events() *events.Recorder { return e.events }

// weight returns the granted rate of an account divided by the mean granted rate. It sets the account's share when
// capacity is scarce.
func (e *Entry) weight(account string) float64 {
	limits, ok := e.conf.Current().Account(account)
	mean := math.Float64frombits(e.meanRate.Load())
	if !ok || mean == 0 {
		return 1
	}
	return float64(limits.GetRate()) / mean
}

// setMeanRate stores the mean granted rate of a snapshot, so that it is not computed for each request.
func (e *Entry) setMeanRate(snapshot *confsync.Snapshot) {
	accounts := snapshot.Accounts()
	sum := 0.0
	for _, account := range accounts {
		sum += float64(account.GetRate())
	}
	e.meanRate.Store(math.Float64bits(sum / float64(max(1, len(accounts)))))
}

func (e *Entry) applySnapshot(snapshot *confsync.Snapshot) {
	e.setMeanRate(snapshot)
	if history := confsync.HistoryOf(snapshot.Revision); e.history.Swap(history) != history {
		e.ledger.RefreshRecords()
	}
	e.upstreams.apply(snapshot.Upstreams())
	e.propagationDelay.Applied(snapshot.Revision)
	e.events.SetConfigRevision(snapshot.Revision)
	e.events.Record("configuration_applied", "", "", events.Field("revision", snapshot.Revision))
	e.logger.Info("configuration applied", zap.Int64("revision", int64(snapshot.Revision)))
}

func (e *Entry) heartbeat() *wirev1.Heartbeat {
	beat := &wirev1.Heartbeat{}
	e.conf.FillHeartbeat(beat)
	e.mu.Lock()
	beat.Leaving = e.stopping
	e.mu.Unlock()
	return beat
}

func (e *Entry) onHeartbeat(session *transport.Session, beat *wirev1.Heartbeat) {
	e.propagationDelay.Reported(session.Remote().GetProcess(), beat.GetConfigRevision())
	if session.Remote().GetRole() == wirev1.Role_ROLE_ENTRY {
		e.conf.OnHeartbeat(session.Remote().GetProcess(), beat)
	}
}

func (e *Entry) nextCallID() *wirev1.CallID {
	return &wirev1.CallID{Incarnation: e.hello.GetIncarnation(), Sequence: e.sequence.Add(1)}
}

// requestStarted adds a running request.
func (e *Entry) requestStarted(r *request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running[r] = struct{}{}
	if e.ended {
		r.cancel(errProcessEnds)
	}
}

func (e *Entry) requestEnded(r *request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.running, r)
	e.signalIdle()
}

// signalIdle closes idle if the process is stopping and no request runs. The caller holds mu.
func (e *Entry) signalIdle() {
	if !e.stopping || len(e.running) > 0 {
		return
	}
	select {
	case <-e.idle:
	default:
		close(e.idle)
	}
}

// Ready returns nil if the load balancer should send requests to this process.
func (e *Entry) Ready() error {
	if e.isStopping() {
		return errStopping
	}
	return e.conf.Admit()
}

func (e *Entry) isStopping() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stopping
}

// BeginStop fails the readiness check, so that the load balancer sends no new requests, and hands the ledger shards over to
// their successors.
func (e *Entry) BeginStop(ctx context.Context) {
	e.mu.Lock()
	e.stopping = true
	e.signalIdle()
	e.mu.Unlock()
	e.events.Record("stopping", "", "")
	e.ledger.Handoff(ctx)
}

// WaitIdle waits until no request runs or ctx ends. It returns the number of requests that are still running.
func (e *Entry) WaitIdle(ctx context.Context) int {
	select {
	case <-ctx.Done():
	case <-e.idle:
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.running)
}

// EndRequests ends the running requests and those that come later, each with a refusal that says whether it may have run. It is
// called when the time of a stop is over.
func (e *Entry) EndRequests() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ended = true
	for r := range e.running {
		r.cancel(errProcessEnds)
	}
}

// Close ends all sessions.
func (e *Entry) Close() {
	e.upstreams.close()
	e.members.close()
}

func requestName(id *wirev1.CallID) string { return call.FromWire(id).String() }
