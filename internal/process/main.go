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

// Main is the command line of a program that serves with a settings file in INI. An error ends the process with status 1.
func Main[S proto.Message](name, usage string, newSettings func() S, run func(S) error) {
	Command[S]{
		Name: name, Usage: usage,
		File: &cli.StringFlag{Name: "config", Usage: "settings file in INI", Required: true},
		Load: func(path string) (S, error) {
			s := newSettings()
			return s, settings.Load(path, s)
		},
		Run: func(_ *cli.Command, _ string, s S) error { return run(s) },
	}.Main()
}

// Command is the command line of a program that serves with a settings file: run and check-config.
type Command[S any] struct {
	Name, Usage string
	// File names the settings file.
	File *cli.StringFlag
	// RunFlags are the other flags of run.
	RunFlags []cli.Flag
	// Load reads and checks the file at a path.
	Load func(path string) (S, error)
	// Run serves with the settings of the file.
	Run func(cmd *cli.Command, path string, s S) error
}

// Main runs the command line. An error ends the process with status 1.
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
