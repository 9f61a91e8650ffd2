// Command fulmardoorctl is the command-line tool for operators of fulmardoor.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/fulmardoor/fulmardoor/internal/admin"
	"github.com/fulmardoor/fulmardoor/internal/process"
)

const (
	flagAdmin = "admin"
	flagToken = "token"
	flagTeam  = "team"
)

func main() {
	root := &cli.Command{
		Name: "fulmardoorctl", Usage: "operate the fulmardoor router", Version: process.Version,
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name: flagAdmin, Usage: "base `URL` of the administration API of an entry process",
				Value: "http://127.0.0.1:8081", Sources: cli.EnvVars("FULMARDOOR_ADMIN"),
			},
			&cli.StringFlag{Name: flagToken, Usage: "operator's token", Sources: cli.EnvVars("FULMARDOOR_TOKEN")},
		},
		Commands: []*cli.Command{documentCommand(), keyCommand(), upstreamCommand(), statusCommand(), eventsCommand()},
	}
	if err := root.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "fulmardoorctl:", err)
		os.Exit(1)
	}
}

func client(cmd *cli.Command) *admin.Client {
	return admin.NewClient(cmd.String(flagAdmin), cmd.String(flagToken))
}

func teamFlag() cli.Flag {
	return &cli.StringFlag{Name: flagTeam, Usage: "team that owns the document", Required: true}
}
