package process

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/urfave/cli/v3"
	"google.golang.org/protobuf/proto"

	"github.com/fulmardoor/fulmardoor/internal/settings"
)

// Main is the command line of a program that serves with a settings file: run and check-config. An error ends the process
// with status 1.
func Main[S proto.Message](name, usage string, newSettings func() S, run func(S) error) {
	load := func(cmd *cli.Command) (S, error) {
		s := newSettings()
		return s, settings.Load(cmd.String("config"), s)
	}
	flags := []cli.Flag{&cli.StringFlag{Name: "config", Usage: "settings file in INI", Required: true}}
	root := &cli.Command{
		Name: name, Usage: usage, Version: Version,
		Commands: []*cli.Command{
			{Name: "run", Usage: "serve until SIGTERM", Flags: flags, Action: func(_ context.Context, cmd *cli.Command) error {
				s, err := load(cmd)
				if err != nil {
					return err
				}
				return run(s)
			}},
			{Name: "check-config", Usage: "check the settings file and exit", Flags: flags,
				Action: func(_ context.Context, cmd *cli.Command) error {
					if _, err := load(cmd); err != nil {
						return err
					}
					fmt.Println("settings are valid")
					return nil
				}},
		},
	}
	if err := root.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
		os.Exit(1)
	}
}

// DrainContext returns a context that ends after limit or when cut is closed, whichever comes first.
func DrainContext(limit time.Duration, cut <-chan struct{}) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	go func() {
		select {
		case <-cut:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}
