// Command standin-engine runs a stand-in for a model engine.
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

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/engine/vllm"
	"github.com/fulmardoor/fulmardoor/standin/engine"
)

func main() {
	command := &cli.Command{
		Name:   "standin-engine",
		Usage:  "run a stand-in for a model engine, for tests and the demo",
		Flags:  flags(),
		Action: run,
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := command.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "standin-engine:", err)
		os.Exit(1)
	}
}

func flags() []cli.Flag {
	d := engine.DefaultConfig()
	return []cli.Flag{
		&cli.StringFlag{Name: "listen", Value: "127.0.0.1:8100", Usage: "listening address"},
		&cli.StringFlag{Name: "address", Usage: "address of this engine in the handles of its exports; the listening address by default"},
		&cli.StringFlag{Name: "name", Value: d.Name, Usage: "prefix of the handles of exports"},
		&cli.StringFlag{Name: "role", Usage: "prefill or decode; empty for both"},
		&cli.StringSliceFlag{Name: "model", Usage: "model to serve; repeatable; all models by default"},
		&cli.IntFlag{Name: "places", Value: d.Places, Usage: "maximum number of concurrent decode requests"},
		&cli.IntFlag{Name: "prefill-slots", Value: d.PrefillSlots, Usage: "maximum number of concurrent prefills"},
		&cli.IntFlag{Name: "queue-limit", Value: d.QueueLimit, Usage: "maximum number of prompts that wait for a prefill slot"},
		&cli.IntFlag{Name: "block-tokens", Value: d.BlockTokens, Usage: "tokens per memory block"},
		&cli.IntFlag{Name: "memory-blocks", Value: d.MemoryBlocks, Usage: "memory for running requests and exports, in blocks"},
		&cli.IntFlag{Name: "cache-blocks", Value: d.CacheBlocks, Usage: "capacity of the prefix cache, in blocks"},
		&cli.DurationFlag{Name: "export-lifetime", Value: d.ExportLifetime, Usage: "time after which an export that has not been imported is evicted"},
		&cli.IntFlag{Name: "kv-bytes-per-token", Value: d.KVBytesPerToken, Usage: "size of the KV cache of one token"},
		&cli.FloatFlag{Name: "link-bytes-per-second", Value: d.LinkBytesPerSecond, Usage: "bandwidth shared by all imports"},
		&cli.FloatFlag{Name: "prefill-tokens-per-second", Value: d.PrefillTokensPerSecond, Usage: "speed of one prefill slot"},
		&cli.DurationFlag{Name: "token-gap", Value: d.TokenGap, Usage: "time between output tokens"},
		&cli.FloatFlag{Name: "speed-factor", Value: d.SpeedFactor, Usage: "factor on the prefill and decode speeds"},
		&cli.IntFlag{Name: "mean-output-tokens", Usage: "mean length of an answer in tokens; with 0, every answer has max_tokens tokens"},
		&cli.DurationFlag{Name: "load-lag", Value: d.LoadLag, Usage: "age of the reported load"},
		&cli.DurationFlag{Name: "event-delay", Value: d.EventDelay, Usage: "time between a change of the prefix cache and its event"},
		&cli.FloatFlag{Name: "event-loss", Usage: "share of cache events dropped from each response, 0 to 1"},
		&cli.IntFlag{Name: "event-log", Value: d.EventLog, Usage: "cache events kept for replay"},
		&cli.BoolFlag{Name: "ignore-fencing", Usage: "execute orders with stale fencing numbers"},
		&cli.DurationFlag{Name: "order-time", Usage: "time that the execution of an order takes"},
		&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the random event loss"},
		&cli.DurationFlag{Name: "grace", Value: 30 * time.Second, Usage: "time limit for running requests after SIGTERM"},
	}
}

func config(command *cli.Command) (engine.Config, error) {
	cfg := engine.Config{
		Name:                   command.String("name"),
		Address:                command.String("address"),
		Models:                 command.StringSlice("model"),
		Places:                 command.Int("places"),
		PrefillSlots:           command.Int("prefill-slots"),
		QueueLimit:             command.Int("queue-limit"),
		BlockTokens:            command.Int("block-tokens"),
		MemoryBlocks:           command.Int("memory-blocks"),
		CacheBlocks:            command.Int("cache-blocks"),
		ExportLifetime:         command.Duration("export-lifetime"),
		KVBytesPerToken:        command.Int("kv-bytes-per-token"),
		LinkBytesPerSecond:     command.Float("link-bytes-per-second"),
		PrefillTokensPerSecond: command.Float("prefill-tokens-per-second"),
		TokenGap:               command.Duration("token-gap"),
		SpeedFactor:            command.Float("speed-factor"),
		MeanOutputTokens:       command.Int("mean-output-tokens"),
		LoadLag:                command.Duration("load-lag"),
		EventDelay:             command.Duration("event-delay"),
		EventLoss:              command.Float("event-loss"),
		EventLog:               command.Int("event-log"),
		IgnoreFencing:          command.Bool("ignore-fencing"),
		OrderTime:              command.Duration("order-time"),
		Seed:                   command.Uint64("seed"),
		Resolve:                engine.HTTPResolver(&http.Client{}),
	}
	switch role := command.String("role"); role {
	case "":
	case vllm.RolePrefill:
		cfg.Role = wirev1.EngineRole_ENGINE_ROLE_PREFILL
	case vllm.RoleDecode:
		cfg.Role = wirev1.EngineRole_ENGINE_ROLE_DECODE
	default:
		return cfg, errors.Errorf("invalid role %q: must be prefill, decode or empty", role)
	}
	return cfg, nil
}

func run(ctx context.Context, command *cli.Command) error {
	logger, err := zap.NewProduction()
	if err != nil {
		return errors.Wrap(err, "logger")
	}
	cfg, err := config(command)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", command.String("listen"))
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	if cfg.Address == "" {
		cfg.Address = listener.Addr().String()
	}
	server := engine.NewServer(engine.NewCore(cfg))
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	logger.Info("listening", zap.Stringer("address", listener.Addr()), zap.Stringer("role", cfg.Role))
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	logger.Info("stopping")
	grace, cancel := context.WithTimeout(context.Background(), command.Duration("grace"))
	defer cancel()
	return server.Shutdown(grace)
}
