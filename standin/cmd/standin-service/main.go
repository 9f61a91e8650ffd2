// Command standin-service runs a stand-in for a plain HTTP service.
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

	"github.com/fulmardoor/fulmardoor/standin/service"
)

func main() {
	command := &cli.Command{
		Name:  "standin-service",
		Usage: "run a stand-in for a plain HTTP service, for tests and the demo",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:8200", Usage: "listening address"},
			&cli.DurationFlag{Name: "latency", Value: 5 * time.Millisecond, Usage: "time that each call takes"},
			&cli.DurationFlag{Name: "grace", Value: 30 * time.Second, Usage: "time limit for running calls after SIGTERM"},
		},
		Action: run,
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := command.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "standin-service:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, command *cli.Command) error {
	logger, err := zap.NewProduction()
	if err != nil {
		return errors.Wrap(err, "logger")
	}
	listener, err := net.Listen("tcp", command.String("listen"))
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	svc := service.New(command.Duration("latency"))
	server := &http.Server{Handler: svc.Handler(), ReadHeaderTimeout: 10 * time.Second}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	logger.Info("listening", zap.Stringer("address", listener.Addr()))
	select {
	case err := <-failed:
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
	}
	logger.Info("stopping")
	svc.Stop()
	grace, cancel := context.WithTimeout(context.Background(), command.Duration("grace"))
	defer cancel()
	if err := server.Shutdown(grace); err != nil {
		return errors.Wrap(err, "connections of running calls closed")
	}
	return nil
}
