// Command fulmardoor-sidecar is the process beside one upstream.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"
	"go.uber.org/zap"

	configv1 "github.com/fulmardoor/fulmardoor/api/config/v1"
	"github.com/fulmardoor/fulmardoor/internal/engine/httpengine"
	"github.com/fulmardoor/fulmardoor/internal/kv/etcdhttp"
	"github.com/fulmardoor/fulmardoor/internal/process"
	"github.com/fulmardoor/fulmardoor/internal/settings"
	"github.com/fulmardoor/fulmardoor/internal/sidecar"
	"github.com/fulmardoor/fulmardoor/internal/transport"
)

const readHeaderTimeout = 10 * time.Second

func main() {
	config := &cli.StringFlag{Name: "config", Usage: "settings file in INI", Required: true}
	root := &cli.Command{
		Name: "fulmardoor-sidecar", Usage: "process beside one upstream of the fulmardoor router", Version: process.Version,
		Commands: []*cli.Command{
			{Name: "run", Usage: "serve until SIGTERM", Flags: []cli.Flag{config}, Action: run},
			{Name: "check-config", Usage: "check the settings file and exit", Flags: []cli.Flag{config}, Action: check},
		},
	}
	if err := root.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "fulmardoor-sidecar:", err)
		os.Exit(1)
	}
}

func load(cmd *cli.Command) (*configv1.SidecarSettings, error) {
	s := new(configv1.SidecarSettings)
	if err := settings.Load(cmd.String("config"), s); err != nil {
		return nil, err
	}
	return s, nil
}

func check(_ context.Context, cmd *cli.Command) error {
	if _, err := load(cmd); err != nil {
		return err
	}
	fmt.Println("settings are valid")
	return nil
}

func upstream(s *configv1.UpstreamSettings, logger *zap.Logger) sidecar.Upstream {
	if s.GetRole() == "service" {
		return sidecar.NewServiceUpstream(s.GetUrl())
	}
	return sidecar.NewModelUpstream(sidecar.ModelConfig{
		Model: s.GetPool(), Engine: httpengine.New(s.GetUrl(), http.DefaultClient), Eviction: s.GetEviction().AsDuration(),
		BlockTokens: int(s.GetBlockTokens()), Logger: logger,
	})
}

func run(_ context.Context, cmd *cli.Command) error {
	s, err := load(cmd)
	if err != nil {
		return err
	}
	logger, level, err := process.Logger(s.GetProcess())
	if err != nil {
		return err
	}
	defer func() { _ = logger.Sync() }()
	platform := s.GetPlatform()
	car := sidecar.New(sidecar.Config{
		Settings: s, Upstream: upstream(s.GetUpstream(), logger), Logger: logger,
		Store: etcdhttp.New(platform.GetStoreUrl(), http.DefaultClient, platform.GetCallTimeout().AsDuration()),
	})
	return serve(car, s, logger, level)
}

// serve opens the listeners, runs until the first stop signal and then stops gracefully.
func serve(car *sidecar.Sidecar, s *configv1.SidecarSettings, logger *zap.Logger, level zap.AtomicLevel) error {
	peers, err := process.PeerListener(s.GetPeers())
	if err != nil {
		return err
	}
	admin, err := process.Listen("admin.listen", s.GetAdmin().GetListen(), "", "")
	if err != nil {
		return err
	}
	router := car.OperationsHandler()
	router.Handle("/log-level", level)
	adminServer := &http.Server{Handler: router, ReadHeaderTimeout: readHeaderTimeout}
	stop, cut := process.Signals()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	failed := make(chan error, 3)
	go func() {
		if err := car.Run(ctx); err != nil {
			failed <- err
		}
	}()
	go func() { failed <- transport.Serve(peers, car.Options()) }()
	go func() { failed <- adminServer.Serve(admin) }()
	logger.Info("serving", zap.String("peers", s.GetPeers().GetListen()), zap.String("upstream", s.GetUpstream().GetUrl()))
	select {
	case err := <-failed:
		return errors.Wrap(err, "sidecar failed")
	case <-stop.Done():
	}
	wait, cancelWait := context.WithTimeout(context.Background(), s.GetUpstream().GetDrainLimit().AsDuration())
	defer cancelWait()
	go func() {
		select {
		case <-cut:
			cancelWait()
		case <-wait.Done():
		}
	}()
	left := car.Stop(wait)
	_ = peers.Close()
	_ = adminServer.Close()
	if left > 0 {
		return errors.Errorf("%d calls were cut", left)
	}
	logger.Info("stopped, no call was cut")
	return nil
}
