// Command standin-deployment runs stand-ins for the users' platform with its store and model runners, and writes a
// settings file for fulmardoor-router.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/fulmardoor/fulmardoor/platform/platformtest"
)

func main() {
	command := &cli.Command{
		Name: "standin-deployment", Usage: "run stand-ins for the store and the model runners of the users' platform, for the demo",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "directory", Value: ".", Usage: "directory for the settings file router.conf"},
			&cli.IntFlag{Name: "port", Value: 19100, Usage: "first of four consecutive ports for the router"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			deployment, err := platformtest.StartDeployment(cmd.String("directory"), cmd.Int("port"))
			if err != nil {
				return err
			}
			fmt.Println("settings:", deployment.SettingsFile)
			deployment.Run(ctx)
			return nil
		},
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := command.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "standin-deployment:", err)
		os.Exit(1)
	}
}
