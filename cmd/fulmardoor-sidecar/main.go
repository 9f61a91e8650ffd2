// Command fulmardoor-sidecar runs the sidecar process of one upstream.
package main

import (
	"context"
	"net/http"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	configv1 "github.com/fulmardoor/fulmardoor/api/config/v1"
	"github.com/fulmardoor/fulmardoor/internal/engine/httpengine"
	"github.com/fulmardoor/fulmardoor/internal/kv/etcdhttp"
	"github.com/fulmardoor/fulmardoor/internal/process"
	"github.com/fulmardoor/fulmardoor/internal/sidecar"
	"github.com/fulmardoor/fulmardoor/internal/transport"
)

func main() {
	newSettings := func() *configv1.SidecarSettings { return new(configv1.SidecarSettings) }
	process.Main("fulmardoor-sidecar", "sidecar process of one upstream of the fulmardoor router", newSettings, run)
}

func newUpstream(s *configv1.UpstreamSettings, logger *zap.Logger) sidecar.Upstream {
	if s.GetRole() == "service" {
		return sidecar.NewServiceUpstream(s.GetUrl())
	}
	return sidecar.NewModelUpstream(sidecar.ModelConfig{
		Model: s.GetPool(), Engine: httpengine.New(s.GetUrl(), http.DefaultClient), Eviction: s.GetEviction().AsDuration(),
		BlockTokens: int(s.GetBlockTokens()), Logger: logger,
	})
}

func run(s *configv1.SidecarSettings) error {
	logger, level, err := process.Logger(s.GetProcess())
	if err != nil {
		return err
	}
	defer func() { _ = logger.Sync() }()
	process.IgnoreReloads(logger)
	if err := process.LimitMemory(); err != nil {
		return err
	}
	peerLimits, err := process.PeerLimits(s.GetPeers())
	if err != nil {
		return err
	}
	platform := s.GetPlatform()
	sc := sidecar.New(sidecar.Config{
		Settings: s, PeerLimits: peerLimits, Upstream: newUpstream(s.GetUpstream(), logger), Logger: logger,
		Store: etcdhttp.New(platform.GetStoreUrl(), http.DefaultClient, platform.GetCallTimeout().AsDuration()),
	})
	return serve(sc, s, logger, level)
}

// serve opens the listeners, runs until the first stop signal and then shuts down gracefully. A second stop signal cancels
// the calls that still run.
func serve(sc *sidecar.Sidecar, s *configv1.SidecarSettings, logger *zap.Logger, level zap.AtomicLevel) error {
	guards, err := process.NewSidecarGuards(s, sc.Registry(), logger)
	if err != nil {
		return err
	}
	peerListener, err := process.PeerListener(guards.Peers, s.GetPeers())
	if err != nil {
		return err
	}
	adminListener, err := process.Listen(guards.Admin, "admin.listen", s.GetAdmin().GetListen(), "", "")
	if err != nil {
		return err
	}
	operations := sc.OperationsHandler()
	operations.Handle("/log-level", process.LogLevelHandler(level))
	adminServer := guards.Admin.Server(adminListener, operations)
	stopSignal, forceStop := process.Signals()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	failed := make(chan error, 3)
	go func() {
		if err := sc.Run(ctx); err != nil {
			failed <- err
		}
	}()
	go func() { failed <- transport.Serve(guards.Peers.Sessions(peerListener), sc.Options()) }()
	go func() { failed <- adminServer.Run() }()
	logger.Info("serving", zap.String("peers", s.GetPeers().GetListen()), zap.String("upstream", s.GetUpstream().GetUrl()))
	select {
	case err := <-failed:
		return errors.Wrap(err, "sidecar failed")
	case <-stopSignal.Done():
	}
	drainCtx, cancelDrain := process.DrainContext(s.GetUpstream().GetDrainLimit().AsDuration(), forceStop)
	defer cancelDrain()
	unfinished := sc.Stop(drainCtx)
	_ = peerListener.Close()
	_ = adminServer.Close()
	if unfinished > 0 {
		return errors.Errorf("%d calls were cut", unfinished)
	}
	logger.Info("stopped, no call was cut")
	return nil
}
