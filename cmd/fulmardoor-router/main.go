// Command fulmardoor-router runs the entry process for the users' platform. It accepts requests from clients and forwards them
// directly to the upstreams, without sidecars.
package main

import (
	"slices"

	"github.com/urfave/cli/v3"

	"github.com/fulmardoor/fulmardoor/internal/process"
	"github.com/fulmardoor/fulmardoor/platform"
)

func main() {
	const metricsPort, fleetPriority, refuseAtOnce = "metrics-port", "fleet-priority", "refuse-at-once"
	process.Command[*platform.Settings]{
		Name: "fulmardoor-router", Usage: "entry process on the users' platform",
		File: &cli.StringFlag{
			Name: "settings", Usage: "settings file", Sources: cli.EnvVars(platform.SettingsVariable),
		},
		RunFlags: slices.Concat([]cli.Flag{
			&cli.IntFlag{Name: metricsPort, Usage: "port for metrics; 0 for none"},
			&cli.BoolFlag{Name: fleetPriority, Usage: "leave capacity at engines to more urgent requests that wait at other routers", Value: true},
			&cli.BoolFlag{Name: refuseAtOnce, Usage: "refuse streams that are expected to wait too long for an engine before they wait", Value: true},
		}, limitFlags(callerPrefix, "callers"), limitFlags(adminPrefix, "readiness requests and metrics"), limitFlags(peerPrefix, "other routers")),
		Load: platform.LoadSettings,
		Run: func(cmd *cli.Command, path string, settings *platform.Settings) error {
			return run(path, settings, runOptions{
				metricsPort: cmd.Int(metricsPort), fleetPriority: cmd.Bool(fleetPriority), refuseAtOnce: cmd.Bool(refuseAtOnce),
				callers: readLimits(cmd, callerPrefix), admin: readLimits(cmd, adminPrefix), peer: readLimits(cmd, peerPrefix),
			})
		},
	}.Main()
}
