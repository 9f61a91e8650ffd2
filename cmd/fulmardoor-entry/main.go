// Command fulmardoor-entry runs the entry process, which accepts requests from clients.
package main

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	configv1 "github.com/fulmardoor/fulmardoor/api/config/v1"
	"github.com/fulmardoor/fulmardoor/internal/admin"
	"github.com/fulmardoor/fulmardoor/internal/entry"
	"github.com/fulmardoor/fulmardoor/internal/hostlist"
	"github.com/fulmardoor/fulmardoor/internal/hostlist/httpsd"
	"github.com/fulmardoor/fulmardoor/internal/kv/etcdhttp"
	"github.com/fulmardoor/fulmardoor/internal/process"
	"github.com/fulmardoor/fulmardoor/internal/transport"
)

const (
	handoffTimeout = 3 * time.Second
	// endTimeout is the longest wait for the refusals of the requests that run when the time of a stop is over.
	endTimeout = time.Second
)

func main() {
	newSettings := func() *configv1.EntrySettings { return new(configv1.EntrySettings) }
	process.Main("fulmardoor-entry", "entry process of the fulmardoor router", newSettings, run)
}

func run(s *configv1.EntrySettings) error {
	logger, level, err := process.Logger(s.GetProcess())
	if err != nil {
		return err
	}
	defer func() { _ = logger.Sync() }()
	process.IgnoreReloads(logger)
	dialer, err := process.NewPeerDialer(s.GetPeers())
	if err != nil {
		return err
	}
	if err := process.LimitMemory(); err != nil {
		return err
	}
	bodyMemory, err := process.BodyMemory(s.GetCallers())
	if err != nil {
		return err
	}
	peerLimits, err := process.PeerLimits(s.GetPeers())
	if err != nil {
		return err
	}
	e := entry.New(entry.Config{
		BodyMemory: bodyMemory, PeerLimits: peerLimits,
		Settings: s, Connector: transport.TCP{Dialer: dialer}, Logger: logger, Hosts: hostSource(s.GetPlatform()),
		Store: etcdhttp.New(s.GetPlatform().GetStoreUrl(), http.DefaultClient, s.GetPlatform().GetCallTimeout().AsDuration()),
	})
	return serve(e, s, logger, level)
}

func hostSource(s *configv1.PlatformSettings) hostlist.Source {
	if s.GetHostListUrl() == "" {
		return nil
	}
	return httpsd.New(s.GetHostListUrl(), http.DefaultClient)
}

// serve opens the listeners, runs until the first stop signal and then shuts down gracefully. A second stop signal cancels
// the requests that still run.
func serve(e *entry.Entry, s *configv1.EntrySettings, logger *zap.Logger, level zap.AtomicLevel) error {
	guards, err := process.NewEntryGuards(s, http.HandlerFunc(e.RefuseExcess), e.Registry(), logger)
	if err != nil {
		return err
	}
	peerListener, err := process.PeerListener(guards.Peers, s.GetPeers())
	if err != nil {
		return err
	}
	callers := s.GetCallers()
	callerListener, err := process.Listen(guards.Callers, "callers.listen", callers.GetListen(), callers.GetCertificateFile(), callers.GetKeyFile())
	if err != nil {
		return err
	}
	adminListener, err := process.Listen(guards.Admin, "admin.listen", s.GetAdmin().GetListen(), "", "")
	if err != nil {
		return err
	}
	operators, err := admin.ParseOperators(s.GetAdmin().GetOperators())
	if err != nil {
		return err
	}
	operations := e.OperationsHandler()
	admin.Register(operations, e, operators, logger)
	operations.Handle("/log-level", process.LogLevelHandler(level))
	callerServer := guards.Callers.Server(callerListener, e.CallerHandler())
	adminServer := guards.Admin.Server(adminListener, operations)
	stopSignal, forceStop := process.Signals()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go e.Run(ctx)
	failed := make(chan error, 3)
	go func() { failed <- transport.Serve(guards.Peers.Sessions(peerListener), e.Options()) }()
	go func() { failed <- callerServer.Run() }()
	go func() { failed <- adminServer.Run() }()
	logger.Info("serving", zap.String("callers", callers.GetListen()), zap.String("peers", s.GetPeers().GetListen()))
	select {
	case err := <-failed:
		return errors.Wrap(err, "listener failed")
	case <-stopSignal.Done():
	}
	unfinished := shutDown(e, s, callerServer.Server, forceStop)
	_ = adminServer.Close()
	_ = peerListener.Close()
	e.Close()
	if unfinished > 0 {
		logger.Error("stopped with running requests", zap.Int("cut", unfinished))
		return errors.Errorf("%d requests were cut", unfinished)
	}
	logger.Info("stopped, no request was cut")
	return nil
}

// shutDown hands over the ledger shards, gives the load balancer time to notice that the process is no longer ready, and waits
// for running requests. Those that still run then are ended with a refusal. It returns their number.
func shutDown(e *entry.Entry, s *configv1.EntrySettings, server *http.Server, forceStop <-chan struct{}) int {
	handoffCtx, cancel := context.WithTimeout(context.Background(), handoffTimeout)
	defer cancel()
	e.BeginStop(handoffCtx)
	select {
	case <-forceStop:
	case <-time.After(s.GetCallers().GetDrainDelay().AsDuration()):
	}
	drainCtx, cancelDrain := process.DrainContext(s.GetCallers().GetDrainLimit().AsDuration(), forceStop)
	defer cancelDrain()
	// Shutdown closes the listener and waits for running requests.
	err := server.Shutdown(drainCtx)
	// WaitIdle must count before EndRequests: requests that end at once would be missing from the count.
	unfinished := e.WaitIdle(drainCtx)
	if err != nil {
		endRequests(e, server)
	}
	return unfinished
}

// endRequests ends the running requests with refusals and closes the connections of callers that do not read theirs in time.
func endRequests(e *entry.Entry, server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), endTimeout)
	defer cancel()
	e.EndRequests()
	if err := server.Shutdown(ctx); err != nil {
		_ = server.Close()
	}
}
