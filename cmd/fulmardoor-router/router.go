package main

import (
	"context"
	"maps"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/fulmardoor/fulmardoor/internal/asynclog"
	"github.com/fulmardoor/fulmardoor/internal/backlog"
	"github.com/fulmardoor/fulmardoor/internal/fleet"
	"github.com/fulmardoor/fulmardoor/internal/follow"
	"github.com/fulmardoor/fulmardoor/internal/gateway"
	"github.com/fulmardoor/fulmardoor/internal/ingress"
	"github.com/fulmardoor/fulmardoor/internal/kv"
	"github.com/fulmardoor/fulmardoor/internal/membudget"
	"github.com/fulmardoor/fulmardoor/internal/peering"
	"github.com/fulmardoor/fulmardoor/internal/placement"
	"github.com/fulmardoor/fulmardoor/internal/process"
	"github.com/fulmardoor/fulmardoor/internal/quarantine"
	"github.com/fulmardoor/fulmardoor/internal/quota"
	"github.com/fulmardoor/fulmardoor/internal/relay"
	"github.com/fulmardoor/fulmardoor/internal/retry"
	"github.com/fulmardoor/fulmardoor/internal/upstreamconn"
	"github.com/fulmardoor/fulmardoor/internal/upstreamlist"
	"github.com/fulmardoor/fulmardoor/internal/upstreamrate"
	"github.com/fulmardoor/fulmardoor/internal/wait"
	"github.com/fulmardoor/fulmardoor/platform"
)

const (
	// storeCallTimeout is 250 times the usual response time of the store, so that a slow store can still respond.
	storeCallTimeout = time.Second
	// readerStorePause and otherStorePause are the longest pauses between two calls to a store that does not answer.
	readerStorePause = 400 * time.Millisecond
	otherStorePause  = 1500 * time.Millisecond
	// configWatchWait is how long one watch call waits for a change while other processes are connected. If the watch hangs on
	// a dead connection, those processes report a newer configuration within half a second. A process without connections to
	// others notices a dead connection only after configWatchWaitAlone plus storeCallTimeout.
	configWatchWait      = 25 * time.Second
	configWatchWaitAlone = 1500 * time.Millisecond
	// newerConfigDelay is the least time that this process's watch, if there is one, has to deliver a version that another process reported. Up to as
	// much is added at random, so that the processes do not all ask the same one at once.
	newerConfigDelay = 150 * time.Millisecond
	// configPullTimeout limits the transfer of a configuration from another process.
	configPullTimeout = time.Second
	// upstreamReadFraction times Settings.DrainTime, the time for which a leaving upstream may still be sent requests, is the
	// interval between two reads of the upstreams. The rest of DrainTime covers a prompt that was placed on the upstream just
	// before a read, which takes about 0.3 s.
	upstreamReadFraction = 0.5
	// minUpstreamReadInterval limits the cost of the reads, because each read counts as a call to the store. In one
	// deployment, one read per second costs as much as 0.003 of the value of all requests.
	minUpstreamReadInterval = 500 * time.Millisecond
	// upstreamGrace is the time that upstreams have after an outage of the store to announce themselves again. It is not
	// longer, because a missing upstream may have left while no connected process could reach the store, and it must get no
	// requests 2 s after it left.
	upstreamGrace = 2 * time.Second
	// An entry lapses after three heartbeats without its upstream. An outage of the store that is shorter than lapseHeartbeats lets none of a running
	// upstream lapse; leaseHeartbeats after the last one that was written, the entry of an upstream that ended is gone.
	lapseHeartbeats = 2
	leaseHeartbeats = 4
	// memberPrefix is the prefix of the entry processes' keys in the store; memberTTL is the TTL of the leases on these keys.
	memberPrefix = "fulmardoor/entries/"
	memberTTL    = 9 * time.Second
	// maxMemberBytes is longer than each address with the name of a data centre and a number.
	maxMemberBytes = 300
	// leaderKey is the key of the leader, the process that may send orders to engines.
	leaderKey = "fulmardoor/leader"
	// quarantineKey is the key of the quarantined prompt parts. quarantineTTL covers the first quarantine of a part, up to two
	// minutes.
	quarantineKey = "fulmardoor/quarantine"
	quarantineTTL = 3 * time.Minute
	// memberLossDelay is how long a smaller number of members must last before it is used. It is longer than the usual outage
	// of the store in which leases expire.
	memberLossDelay = 15 * time.Second
	// cleanupInterval is the interval at which expired idle connections are closed and upstreams that are gone are deleted
	// from the board.
	cleanupInterval = time.Second
	// drainDelay gives the load balancer time to notice that this process is stopping: two readiness requests, which it sends
	// one second apart.
	drainDelay = 2500 * time.Millisecond
	// reloadInterval is how often the settings file is read again, because it may change without a signal.
	reloadInterval = 5 * time.Second
	// stopPollInterval is how often a stopping process checks whether it is idle.
	stopPollInterval = 50 * time.Millisecond
	// lingerTime is how long requests on open connections are still answered after the listener was closed.
	lingerTime = 200 * time.Millisecond
	// closeTimeout limits the wait for requests that arrived just before the server is closed.
	closeTimeout = 200 * time.Millisecond
	// exitMargin is subtracted from the stop grace, so that the process exits before it is killed.
	exitMargin = 600 * time.Millisecond
	// memoryLimitFraction is the fraction of the memory limit in the settings that is the Go runtime's soft memory limit.
	memoryLimitFraction = 0.6
	// answerMemoryFraction is the fraction of the memory limit for large heads of answers and for the bodies that are kept until they, or one of
	// their events, are complete.
	answerMemoryFraction = 0.125
	// bodyMemoryFraction is the fraction of the memory limit for the bodies of requests in flight. With answerMemoryFraction and what a
	// process needs without bodies, it stays below memoryLimitFraction.
	bodyMemoryFraction = 0.28
	// idleTimeout is longer than any idle timeout in a configuration, so that clients close idle connections first.
	idleTimeout = 5 * time.Minute
	// assumedProcesses is used as the number of entry processes until that is known from the store. The users' deployments
	// have about as many. A process that counted only itself would use the whole of the limits that all processes share.
	assumedProcesses = 8
	// retryBudgetFraction is the fraction of the permitted retries that is used. The rest covers requests that are counted
	// elsewhere.
	retryBudgetFraction = 0.8
	logFlushTimeout     = 200 * time.Millisecond
)

// router has the components of the router process.
type router struct {
	// settingsPath is the path of the settings file; it is read again by reloadSettings.
	settingsPath string
	// settings has the settings that the process started with.
	settings *platform.Settings
	logger   *zap.Logger
	store    *platform.Store
	board    *placement.Board
	limiter  *quota.Limiter
	budgets  *gateway.Budgets
	limits   *upstreamrate.Limits
	backlog  *backlog.Backlog
	pool     *upstreamconn.Pool
	gateway  *gateway.Gateway
	mesh     *peering.Mesh
	members  *follow.Members
	prompts  *follow.Quarantine
	// storeStatus is shared by all that follows the store.
	storeStatus follow.Status
	upstreams   *upstreamEntries
	feed        *upstreamFeed
	upstreamsMu sync.Mutex // serializes applyUpstreams, so that lists are passed on in their order
	// refreshConfig triggers a read of the configuration.
	refreshConfig chan struct{}
	// newerConfig is the last version that another process reported as newer, and document the document of the current one.
	newerConfig atomic.Pointer[newerConfig]
	applyMu     sync.Mutex // serializes applyConfig, so that document fits the configuration
	document    atomic.Pointer[[]byte]
	registry    *prometheus.Registry
}

func newLogger(out zapcore.WriteSyncer, s *platform.Settings) *zap.Logger {
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	config.EncodeDuration = zapcore.MillisDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(config), out, zap.InfoLevel)
	return zap.New(core).With(zap.String("process", s.Name))
}

func run(path string, settings *platform.Settings, options runOptions) error {
	debug.SetMemoryLimit(int64(float64(settings.MemoryMB) * memoryLimitFraction * (1 << 20)))
	out := asynclog.New(os.Stdout)
	defer out.Close(logFlushTimeout)
	r := newRouter(path, settings, options, newLogger(out, settings))
	return r.serve(options)
}

func newRouter(path string, s *platform.Settings, options runOptions, logger *zap.Logger) *router {
	pool := upstreamconn.New(nil)
	r := &router{
		settingsPath: path, settings: s, logger: logger, pool: pool,
		board: placement.NewBoard(s.DataCentre, nil), limiter: quota.NewLimiter(rateTolerance(s), time.Now()),
		budgets: gateway.NewBudgets(retryLimits(s)), registry: prometheus.NewRegistry(),
		refreshConfig: make(chan struct{}, 1), limits: upstreamrate.New(s.Name, time.Now()),
	}
	r.setProcesses(assumedProcesses)
	// Without fleetPriority, the demand of other routers stays unknown, so that nothing is held back.
	r.backlog = backlog.New(func() { r.mesh.NotifyDemandChanged() })
	var exchanged *backlog.Backlog
	if options.fleetPriority {
		exchanged = r.backlog
	}
	r.store = platform.NewStore(platform.StoreOptions{
		Address: s.StoreAddress, Pool: pool, CallTimeout: storeCallTimeout, WatchWait: r.watchWait,
		OnHistoryChange: func(before, now int64) {
			logger.Warn("store went back to a copy", zap.Int64("history_before", before), zap.Int64("history", now))
		},
	})
	prompts := quarantine.NewList()
	answerMemory := memoryShare(s, answerMemoryFraction)
	pool.HeadMemory = answerMemory
	r.upstreams = newUpstreamEntries(r.store.Each, logger)
	r.upstreams.readEvacuations = s.EvacuationTime > 0
	r.upstreams.reserve(s.CallerAddress, s.ReadyAddress, s.StoreAddress, r.peerAddress())
	r.gateway = gateway.New(gateway.Options{
		Protocol: platform.Protocol{}, Board: r.board, Limiter: r.limiter, Budgets: r.budgets, Pool: pool, Quarantine: prompts, Limits: r.limits, Backlog: r.backlog,
		RefuseAtOnce: options.refuseAtOnce,
		BodyMemory:   memoryShare(s, bodyMemoryFraction), AnswerMemory: answerMemory, Metrics: gateway.NewMetrics(r.registry), Logger: logger,
	})
	r.storeStatus = follow.Status{Logger: logger, Health: follow.NewHealth(r.storePause, func(bool) { r.mesh.NotifyStatusChanged() })}
	r.mesh = peering.New(peering.Options{
		PeerLimits: peerLimits(s, r.registry, logger),
		Name:       s.Name, Host: s.Host, DataCentre: s.DataCentre, Address: r.peerAddress(), Cores: s.Cores, Board: r.board, Limiter: r.limiter, Quarantine: prompts, Limits: r.limits, Logger: logger,
		Backlog: exchanged, OnDemand: r.gateway.CapacityChanged,
		Version: r.configVersion, Document: r.configDocument, OnNewerVersion: func(process string, version int64) {
			r.newerConfig.Store(&newerConfig{process, version})
			select {
			case r.refreshConfig <- struct{}{}:
			default:
			}
		},
		OnUpstreams: r.receiveUpstreams, UpstreamsCurrent: r.upstreamsCurrent, StoreContact: r.storeStatus.Health.Available, OnStoreRegained: r.storeStatus.Health.TryNow,
	})
	r.feed = &upstreamFeed{
		interval: max(minUpstreamReadInterval, time.Duration(upstreamReadFraction*float64(s.DrainTime))), source: r.mesh.ListsFrom,
		storeLostAt: r.storeStatus.Health.FailedAt, known: upstreamlist.New(upstreamListOptions(s)),
	}
	r.members = follow.NewMembers(follow.MemberOptions{
		Store: r.store, List: r.listMembers, Check: checkMember, Prefix: memberPrefix, Name: s.Name, Value: []byte(formatMember(r.peerAddress(), s)), LeaderKey: leaderKey, TTL: max(memberTTL, s.LeaseTTLMin),
		ShrinkDelay: memberLossDelay, HistoryChanged: r.store.HistoryChanged, Status: r.storeStatus,
	}, r.setProcesses, r.setMembers)
	r.board.OnChange(r.mesh.NotifyWorkChanged, r.gateway.CapacityChanged)
	r.prompts = follow.NewQuarantine(follow.QuarantineOptions{
		Store: r.store, List: prompts, Key: quarantineKey, TTL: quarantineTTL, HistoryChanged: r.store.HistoryChanged, Status: r.storeStatus,
	})
	r.registerMetrics()
	r.limits.Connect(r.mesh)
	prompts.OnReport(r.mesh.SendPromptReport)
	prompts.OnChange(r.prompts.NotifyChanged)
	return r
}

// memoryShare returns a budget of a fraction of the memory limit.
func memoryShare(s *platform.Settings, fraction float64) *membudget.Budget {
	return membudget.New(int64(fraction * float64(s.MemoryMB) * 1e6))
}

// listMembers lists the keys of the processes. Values that are too long for an address are not kept.
func (r *router) listMembers(ctx context.Context, prefix string) (pairs []kv.Pair, revision int64, err error) {
	err = r.store.EachStale(ctx, prefix, func(pair kv.Pair) {
		if len(pair.Value) > maxMemberBytes {
			pair.Value = nil
		}
		pairs = append(pairs, pair)
	})
	return pairs, 0, err
}

// formatMember returns the value of this process's key: its address, data centre and processor time.
func formatMember(address string, s *platform.Settings) string {
	return address + " " + s.DataCentre + " " + strconv.FormatFloat(s.Cores, 'g', -1, 64)
}

// parseMember reads the value of a process's key. Earlier versions wrote the address alone.
func parseMember(value string) (relay.Member, error) {
	address, rest, more := strings.Cut(value, " ")
	member := relay.Member{Address: address}
	if err := fleet.CheckAddress(address); err != nil || !more {
		return member, err
	}
	end := strings.LastIndex(rest, " ")
	if end < 0 {
		return member, errors.Errorf("%.100q is not a data centre and a number of cores", rest)
	}
	cores, err := strconv.ParseFloat(rest[end+1:], 64)
	if err != nil || !(cores >= 0) || math.IsInf(cores, 0) {
		return member, errors.Errorf("%.100q is not a number of cores", rest[end+1:])
	}
	member.DataCentre, member.Cores = rest[:end], cores
	return member, nil
}

// checkMember returns an error for the value of a process's key that does not describe a process.
func checkMember(value []byte) error {
	_, err := parseMember(string(value))
	return err
}

// setMembers connects this process to the others. values are the values of their keys, which were checked.
func (r *router) setMembers(values map[string]string) {
	members := make(map[string]relay.Member, len(values))
	for name, value := range values {
		if member, err := parseMember(value); err == nil {
			members[name] = member
		}
	}
	r.mesh.SetMembers(members)
	r.limits.SetMembers(slices.Collect(maps.Keys(members)))
}

// setProcesses sets the number of processes among which rate limits, retry budgets and the limits of upstreams are divided.
func (r *router) setProcesses(count int) {
	r.limiter.SetProcesses(count)
	r.budgets.SetProcesses(count)
	r.limits.SetProcesses(count)
}

// storePause returns the longest pause between two calls to a store that does not answer. The process that reads for the others tries often; the others
// hear from it when the store answers again.
func (r *router) storePause() time.Duration {
	if process, _ := r.mesh.ListsFrom(); process == "" {
		return readerStorePause
	}
	return otherStorePause
}

// configFollowed reports whether this process hears of new configurations from the relays of its data centre, which watch the store.
func (r *router) configFollowed() bool { return r.configVersion() > 0 && r.mesh.RelayHasStore() }

// watchWait returns how long a watch call for the configuration waits for a change.
func (r *router) watchWait() time.Duration {
	if r.mesh.Connected() > 0 {
		return configWatchWait
	}
	return configWatchWaitAlone
}

// upstreamsCurrent reports whether this process is fit to read the list of upstreams for others.
func (r *router) upstreamsCurrent() bool { return r.storeStatus.Health.Available() && r.feed.current() }

// configVersion returns the version of the current configuration; 0 for none.
func (r *router) configVersion() int64 {
	if config := r.gateway.Config(); config != nil {
		return config.Version
	}
	return 0
}

// newerConfig is a version of the configuration that another process reported.
type newerConfig struct {
	process string
	version int64
}

// configDocument returns the document of the current configuration; nil for none.
func (r *router) configDocument() []byte {
	if document := r.document.Load(); document != nil {
		return *document
	}
	return nil
}

// readConfig brings the configuration up to date after another process reported a newer version, because this process's watch may hang on a dead
// connection. Usually the watch delivers that version meanwhile. Otherwise the other process sends its document, which saves a call to the
// store by each process, and is also there if the store cannot be reached or went back to a copy from before.
func (r *router) readConfig(ctx context.Context) error {
	newer := r.newerConfig.Load()
	if newer == nil {
		return nil
	}
	delay := rand.N(newerConfigDelay)
	if !r.configFollowed() {
		delay += newerConfigDelay
	}
	wait.For(ctx, delay)
	if r.configVersion() >= newer.version {
		return nil
	}
	// A process without any configuration waits for the store, which also tells it the upstreams.
	if r.configVersion() > 0 {
		err := r.pullConfig(ctx, newer)
		if err == nil {
			return nil
		}
		r.logger.Info("configuration not pulled from another process", zap.String("peer", newer.process), zap.Int64("config", newer.version), zap.String("error", err.Error()))
	}
	pair, err := r.store.Get(ctx, platform.KeyConfig)
	if err != nil {
		return err
	}
	r.applyConfig(pair)
	if version := r.configVersion(); version < newer.version {
		return errors.Errorf("version %d is not in the store, which has %d", newer.version, version)
	}
	return nil
}

// pullConfig gets and applies the document of a process that reported a newer version.
func (r *router) pullConfig(ctx context.Context, newer *newerConfig) error {
	ctx, cancel := context.WithTimeout(ctx, configPullTimeout)
	defer cancel()
	document, err := r.mesh.PullConfig(ctx, newer.process)
	if err != nil {
		return err
	}
	r.logger.Info("configuration pulled from another process", zap.String("peer", newer.process), zap.Int64("config", newer.version))
	r.applyConfig(kv.Pair{Key: platform.KeyConfig, Value: document})
	if version := r.configVersion(); version < newer.version {
		return errors.Errorf("%s sent no configuration of version %d, the current one is %d", newer.process, newer.version, version)
	}
	return nil
}

// peerAddress returns the address at which other processes connect to this one.
func (r *router) peerAddress() string {
	return net.JoinHostPort(r.settings.Host, strconv.Itoa(r.settings.FirstPort))
}

func rateTolerance(s *platform.Settings) quota.Tolerance {
	return quota.Tolerance{Window: s.RateWindow, Over: s.RateOver, Slack: s.RateSlack}
}

func retryLimits(s *platform.Settings) retry.Limits {
	// One second more than the window, because the current second is incomplete.
	return retry.Limits{Share: s.RetryRatio * retryBudgetFraction, Extra: s.RetrySlack * retryBudgetFraction, Seconds: int(s.RetryWindow.Seconds()) + 1}
}

// followStore follows the configuration, the upstreams and the members in the store until ctx ends. It also runs the stage
// controller and the periodic cleanup.
func (r *router) followStore(ctx context.Context) {
	go follow.WatchKey(ctx, r.store, platform.KeyConfig, r.storeStatus, r.configFollowed, r.applyConfig)
	go follow.Poll(ctx, follow.PollOptions{Read: r.readUpstreams, Due: r.feed.due, Interval: r.feed.pause, Name: "store: upstreams", Status: r.storeStatus})
	go follow.Refresh(ctx, r.refreshConfig, "store: newer configuration", r.storeStatus, r.readConfig)
	go r.members.Run(ctx)
	go r.prompts.Run(ctx)
	controller := &gateway.StageController{Gateway: r.gateway, Leadership: r.members.Leadership(), Holder: r.settings.Name}
	go controller.Run(ctx)
	for ticker := time.NewTicker(cleanupInterval); ; {
		select {
		case <-ctx.Done():
			ticker.Stop()
			return
		case <-ticker.C:
			r.pool.CloseExpired()
			r.board.Sweep()
			r.limits.Sweep(time.Now())
		}
	}
}

func (r *router) applyConfig(pair kv.Pair) {
	r.applyMu.Lock()
	defer r.applyMu.Unlock()
	config, err := platform.ParseConfig(pair.Value)
	if err != nil {
		r.logger.Error("cannot parse configuration; keeping the current one", zap.Int64("revision", pair.ModRevision), zap.String("error", err.Error()))
		return
	}
	if r.gateway.Apply(config) {
		r.limiter.Prepare(config.Accounts(), time.Now())
		r.document.Store(&pair.Value)
		r.mesh.NotifyStatusChanged()
		r.logger.Info("configuration applied", zap.Int64("config", config.Version), zap.Int64("revision", pair.ModRevision))
	}
}

// readiness serves the load balancer's readiness requests.
type readiness struct{ gateway *gateway.Gateway }

// ServeHTTP implements http.Handler.
func (h *readiness) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if req.URL.Path != platform.PathReady {
		http.NotFound(w, req)
		return
	}
	if err := h.gateway.Ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// serve opens the listeners, runs until the first stop signal and then shuts down gracefully. A second stop signal ends the
// wait for running requests.
func (r *router) serve(options runOptions) error {
	s := r.settings
	guards, err := newGuards(s, options, http.HandlerFunc(r.gateway.RefuseExcess), r.registry, r.logger)
	if err != nil {
		return err
	}
	r.gateway.LimitPlain(plainRequests(guards.callers.Limits))
	callerListener, err := guards.callers.Listen(s.CallerAddress)
	if err != nil {
		return errors.Wrap(err, "listen for clients")
	}
	readyListener, err := guards.ready.Listen(s.ReadyAddress)
	if err != nil {
		return errors.Wrap(err, "listen for readiness requests")
	}
	peerListener, err := guards.peers.Listen(r.peerAddress())
	if err != nil {
		return errors.Wrap(err, "listen for peers")
	}
	stopSignal, forceStop := process.Signals()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go r.followStore(ctx)
	go r.reloadSettings(ctx)
	server := guards.callers.Server(callerListener, r.gateway)
	readyServer := guards.ready.Server(readyListener, &readiness{r.gateway})
	failed := make(chan error, 4)
	go func() { failed <- server.Run() }()
	go func() { failed <- readyServer.Run() }()
	go func() { failed <- r.mesh.Serve(guards.peers.Sessions(peerListener)) }()
	if options.metricsPort > 0 {
		go r.serveMetrics(options.metricsPort, guards.metrics)
	}
	r.logger.Info("started", zap.String("version", process.Version), zap.String("callers", s.CallerAddress), zap.String("data_centre", s.DataCentre))
	select {
	case err := <-failed:
		return errors.Wrap(err, "listener failed")
	case <-stopSignal.Done():
	}
	r.shutDown(server.Server, callerListener, forceStop)
	return nil
}

func (r *router) serveMetrics(port int, guard *ingress.Guard) {
	mux := http.NewServeMux()
	mux.Handle("/metrics", promhttp.HandlerFor(r.registry, promhttp.HandlerOpts{}))
	listener, err := guard.Listen(net.JoinHostPort(r.settings.Host, strconv.Itoa(port)))
	if err == nil {
		err = guard.Server(listener, mux).Run()
	}
	if err != nil {
		r.logger.Warn("metrics server failed", zap.String("error", err.Error()))
	}
}

// shutDown keeps serving until the load balancer has had time to notice the stop and the accepted requests have ended, or
// until the stop grace is almost over. Then it answers the requests that still run, as far as possible, and closes the server.
func (r *router) shutDown(server *http.Server, listener net.Listener, forceStop <-chan struct{}) {
	start := time.Now()
	end := start.Add(r.settings.StopGrace - exitMargin)
	r.gateway.Stop(start.Add(drainDelay), end)
	r.logger.Info("stopping", zap.Int("running", r.gateway.Running()))
	r.waitDrained(end, forceStop)
	cut := r.gateway.Running()
	r.gateway.End()
	// Server.Shutdown drops requests that it has not begun to read, so those on their way are answered before.
	if err := listener.Close(); err != nil {
		r.logger.Warn("cannot close the listener", zap.String("error", err.Error()))
	}
	time.Sleep(lingerTime)
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		r.logger.Info("closing open connections", zap.String("error", err.Error()), zap.Int("running", r.gateway.Running()))
	}
	if cut > 0 {
		r.logger.Error("stopped with running requests", zap.Int("cut", cut), zap.Duration("took", time.Since(start)))
		return
	}
	r.logger.Info("stopped, no request was cut", zap.Duration("took", time.Since(start)))
}

// waitDrained waits until the gateway has nothing left to do, end is reached or a second stop signal arrives.
func (r *router) waitDrained(end time.Time, forceStop <-chan struct{}) {
	for time.Now().Before(end) && !r.gateway.Drain() {
		select {
		case <-forceStop:
			return
		case <-time.After(stopPollInterval):
		}
	}
}

// reloadSettings reads the settings file on SIGHUP and every reloadInterval, and applies changed limits for rates and retries.
// An invalid file changes nothing.
func (r *router) reloadSettings(ctx context.Context) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	current := *r.settings
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
		case <-ticker.C:
		}
		settings, err := platform.LoadSettings(r.settingsPath)
		if err != nil {
			r.logger.Error("cannot load settings; keeping the current ones", zap.String("error", err.Error()))
			continue
		}
		if *settings == current {
			continue
		}
		current = *settings
		r.limiter.SetTolerance(rateTolerance(settings))
		r.budgets.SetLimits(retryLimits(settings))
		r.logger.Info("settings reloaded", zap.Any("settings", current))
	}
}
