// Command fulmardoor-load sends requests to entry processes and prints a summary of the responses.
package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"github.com/fulmardoor/fulmardoor/internal/load"
	"github.com/fulmardoor/fulmardoor/internal/process"
)

func main() {
	root := &cli.Command{
		Name: "fulmardoor-load", Usage: "load tool of the fulmardoor router", Version: process.Version,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "targets", Usage: "comma-separated base URLs of entry processes", Required: true},
			&cli.StringFlag{Name: "key", Usage: "key of the client account", Sources: cli.EnvVars("FULMARDOOR_KEY")},
			&cli.StringFlag{Name: "model", Value: "drafter"},
			&cli.IntFlag{Name: "requests", Usage: "number of model requests", Value: 20},
			&cli.IntFlag{Name: "bookings", Usage: "number of calls of the plain service", Value: 20},
			&cli.StringFlag{Name: "booking-path", Value: "/bookings"},
			&cli.IntFlag{Name: "concurrency", Value: 8},
			&cli.IntFlag{Name: "prompt-tokens", Value: 3000},
			&cli.IntFlag{Name: "max-tokens", Value: 24},
			&cli.DurationFlag{Name: "timeout", Value: time.Minute},
			&cli.Uint64Flag{Name: "seed", Value: 1},
			&cli.BoolFlag{Name: "show", Usage: "print each response"},
			&cli.BoolFlag{Name: "expect-whole", Usage: "fail unless every response is complete"},
		},
		Action: run,
	}
	if err := root.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "fulmardoor-load:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, cmd *cli.Command) error {
	results := load.Run(ctx, load.Plan{
		Targets: strings.Split(cmd.String("targets"), ","), Key: cmd.String("key"), Model: cmd.String("model"),
		Requests: cmd.Int("requests"), Bookings: cmd.Int("bookings"), BookingPath: cmd.String("booking-path"),
		Concurrency: cmd.Int("concurrency"), PromptTokens: cmd.Int("prompt-tokens"), MaxTokens: cmd.Int("max-tokens"),
		Timeout: cmd.Duration("timeout"), Seed: cmd.Uint64("seed"),
	})
	incomplete := 0
	for _, r := range results {
		if !r.Complete {
			incomplete++
		}
		if cmd.Bool("show") {
			printResult(r)
		}
	}
	if err := load.WriteTable(os.Stdout, load.Summarize(results)); err != nil {
		return errors.Wrap(err, "write table")
	}
	if cmd.Bool("expect-whole") && incomplete > 0 {
		return errors.Errorf("%d responses are incomplete", incomplete)
	}
	return nil
}

func printResult(r load.Result) {
	switch {
	case r.Complete:
		fmt.Printf("%-8s %s  %d  %q\n", r.Kind, r.RequestID, r.Status, truncate(r.Text))
	case r.Err != nil:
		fmt.Printf("%-8s %s  error: %v\n", r.Kind, r.RequestID, r.Err)
	default:
		fmt.Printf("%-8s %s  %d  %s (%s)\n", r.Kind, r.RequestID, r.Status, r.Code, r.Verdict)
	}
}

// maxPrintedBytes limits how much of a response is printed.
const maxPrintedBytes = 60

func truncate(text string) string {
	if len(text) <= maxPrintedBytes {
		return text
	}
	return text[:maxPrintedBytes] + "..."
}
