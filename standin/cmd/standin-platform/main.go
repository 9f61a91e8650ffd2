// Command standin-platform runs a stand-in for the users' platform, with a key-value service, a host list and calls to
// inject faults.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"
	"go.uber.org/zap"

	"github.com/fulmardoor/fulmardoor/standin/platform"
)

const (
	readHeaderTimeout = 10 * time.Second
	// shutdownTimeout limits the wait for calls in progress after SIGTERM.
	shutdownTimeout = 10 * time.Second
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := command().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "standin-platform:", err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "standin-platform",
		Usage: "run a stand-in for the platform's key-value service and host list",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:2379", Usage: "`ADDRESS` to listen on"},
			&cli.DurationFlag{Name: "hosts-lag", Usage: "time after which a change of the host list becomes visible"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			logger, err := zap.NewProduction()
			if err != nil {
				return errors.Wrap(err, "logger")
			}
			return serve(ctx, c.String("listen"), c.Duration("hosts-lag"), logger)
		},
	}
}

// serve handles calls until ctx ends, and then waits for the calls in progress.
func serve(ctx context.Context, address string, hostsLag time.Duration, logger *zap.Logger) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	handler := platform.New(platform.Options{HostsLag: hostsLag, Logger: logger})
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	server.RegisterOnShutdown(handler.Close)
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(listener) }()
	logger.Info("listening", zap.Stringer("address", listener.Addr()), zap.Duration("hosts_lag", hostsLag))
	select {
	case err := <-ended:
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
	}
	logger.Info("stopping")
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	if err := server.Shutdown(stopCtx); err != nil {
		return errors.Wrap(err, "shutdown")
	}
	return nil
}
