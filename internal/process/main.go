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

// Main runs the command line of a server program with a settings file in INI format. It exits with status 1 on an error.
func Main[S proto.Message](name, usage string, newSettings func() S, run func(S) error) {
	Command[S]{
		Name: name, Usage: usage,
		File: &cli.StringFlag{Name: "config", Usage: "settings file in INI format", Required: true},
		Load: func(path string) (S, error) {
			s := newSettings()
			return s, settings.Load(path, s)
		},
		Run: func(_ *cli.Command, _ string, s S) error { return run(s) },
	}.Main()
}

// Command is the command line of a server program with a settings file. It has the subcommands run and check-config.
type Command[S any] struct {
	Name, Usage string
	// File is the flag with the path of the settings file.
	File *cli.StringFlag
	// RunFlags are the additional flags of the subcommand run.
	RunFlags []cli.Flag
	// Load reads and validates the settings file at a path.
	Load func(path string) (S, error)
	// Run serves with the loaded settings until the process is stopped.
	Run func(cmd *cli.Command, path string, s S) error
}

// Main runs the command line. It exits with status 1 on an error.
func (c Command[S]) Main() {
	root := &cli.Command{
		Name: c.Name, Usage: c.Usage, Version: Version,
		Commands: []*cli.Command{
			{Name: "run", Usage: "serve until SIGTERM", Flags: append([]cli.Flag{c.File}, c.RunFlags...),
				Action: func(_ context.Context, cmd *cli.Command) error {
					path := cmd.String(c.File.Name)
					s, err := c.Load(path)
					if err != nil {
						return err
					}
					return c.Run(cmd, path, s)
				}},
			{Name: "check-config", Usage: "check the settings file and exit", Flags: []cli.Flag{c.File},
				Action: func(_ context.Context, cmd *cli.Command) error {
					if _, err := c.Load(cmd.String(c.File.Name)); err != nil {
						return err
					}
					fmt.Println("settings are valid")
					return nil
				}},
		},
	}
	if err := root.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", c.Name, err)
		os.Exit(1)
	}
}

// DrainContext returns a context that ends after limit or when forceStop is closed, whichever comes first.
func DrainContext(limit time.Duration, forceStop <-chan struct{}) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	go func() {
		select {
		case <-forceStop:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}
