package main

import (
	"net/http"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/urfave/cli/v3"
	"go.uber.org/zap"

	"github.com/fulmardoor/fulmardoor/internal/ingress"
	"github.com/fulmardoor/fulmardoor/internal/transport"
	"github.com/fulmardoor/fulmardoor/platform"
)

// The prefixes of the flags for the limits of the listeners: for callers, for readiness requests and metrics, and for other routers.
const (
	callerPrefix = ""
	adminPrefix  = "admin-"
	peerPrefix   = "peer-"
)

// requestBodyTimeout is the longest time for the body of a request. The gateway sets the deadline of a request, which is earlier.
const requestBodyTimeout = 35 * time.Second

// messageMemoryFraction is the fraction of the memory limit for messages that arrive from other routers.
const messageMemoryFraction = 0.1

// runOptions are the flags of the subcommand run.
type runOptions struct {
	metricsPort int
	// fleetPriority is set if waiting demand is exchanged with other routers, and capacity left to more urgent requests there.
	fleetPriority bool
	// refuseAtOnce is set if streams that are expected to wait too long for an engine are refused before they wait.
	refuseAtOnce         bool
	callers, admin, peer ingress.Limits
}

// limitFlag returns the name of the flag for a key of ingress.Limits.
func limitFlag(prefix, key string) string { return prefix + strings.ReplaceAll(key, "_", "-") }

// limitFlags returns the flags for the limits of the listeners with a prefix.
func limitFlags(prefix, listeners string) []cli.Flag {
	name := func(key string) string { return limitFlag(prefix, key) }
	usage := func(text string) string { return text + ", for " + listeners + "; 0 for the default" }
	return []cli.Flag{
		&cli.IntFlag{Name: name(ingress.KeyMaxConnections), Usage: usage("maximum number of open connections")},
		&cli.IntFlag{Name: name(ingress.KeyMaxPerAddress), Usage: usage("maximum number of open connections from one IP address")},
		&cli.IntFlag{Name: name(ingress.KeyMaxRequests), Usage: usage("maximum number of requests that are served at the same time")},
		&cli.Int64Flag{Name: name(ingress.KeyHeadMemory), Usage: usage("memory for the request heads of all connections together")},
		&cli.Int64Flag{Name: name(ingress.KeyReceiveMemory), Usage: usage("memory for bytes that were received and not read on all connections together")},
		&cli.IntFlag{Name: name(ingress.KeyMaxHeadBytes), Usage: usage("maximum size of a request head")},
		&cli.IntFlag{Name: name(ingress.KeyMaxHeadLines), Usage: usage("maximum number of lines of a request head")},
		&cli.DurationFlag{Name: name(ingress.KeyHeadTimeout), Usage: usage("maximum time until a request head is complete")},
		&cli.DurationFlag{Name: name(ingress.KeyBodyTimeout), Usage: usage("maximum time until the first and each next part of a body")},
		&cli.DurationFlag{Name: name(ingress.KeyWriteTimeout), Usage: usage("maximum time until a client takes a part of a response")},
	}
}

// readLimits returns the limits in the flags with a prefix.
func readLimits(cmd *cli.Command, prefix string) ingress.Limits {
	name := func(key string) string { return limitFlag(prefix, key) }
	return ingress.Limits{
		MaxConnections: cmd.Int(name(ingress.KeyMaxConnections)), MaxPerAddress: cmd.Int(name(ingress.KeyMaxPerAddress)),
		MaxRequests: cmd.Int(name(ingress.KeyMaxRequests)), HeadMemory: cmd.Int64(name(ingress.KeyHeadMemory)), ReceiveMemory: cmd.Int64(name(ingress.KeyReceiveMemory)), MaxHeadBytes: cmd.Int(name(ingress.KeyMaxHeadBytes)),
		MaxHeadLines: cmd.Int(name(ingress.KeyMaxHeadLines)), HeadTimeout: cmd.Duration(name(ingress.KeyHeadTimeout)),
		BodyTimeout: cmd.Duration(name(ingress.KeyBodyTimeout)), WriteTimeout: cmd.Duration(name(ingress.KeyWriteTimeout)),
	}
}

// plainRequests returns the number of plain requests that may run at a time. Each uses a connection to an upstream, so that these connections take at
// most a quarter of the descriptors. A connection of a caller without a running request needs none.
func plainRequests(callers ingress.Limits) int { return max(1, callers.MaxConnections/2) }

// guards has the guards of the listeners.
type guards struct{ callers, ready, metrics, peers *ingress.Guard }

// newGuards returns the guards of the router's listeners. The error names the limits that the host in the settings cannot hold.
// refuse answers requests of callers beyond the limit.
func newGuards(s *platform.Settings, options runOptions, refuse http.Handler, registerer prometheus.Registerer, logger *zap.Logger) (guards, error) {
	host, err := hostOf(s)
	if err != nil {
		return guards{}, err
	}
	callers := guardSpec("callers", callerPrefix, ingress.Callers, options.callers)
	callers.Refuse = refuse
	list, err := ingress.Guards(host, registerer, logger,
		callers, guardSpec("readiness", adminPrefix, ingress.Internal, options.admin),
		guardSpec("metrics", adminPrefix, ingress.Internal, options.admin), guardSpec("peers", peerPrefix, ingress.Peers, options.peer))
	if err != nil {
		return guards{}, err
	}
	return guards{callers: list[0], ready: list[1], metrics: list[2], peers: list[3]}, nil
}

func guardSpec(name, prefix string, role ingress.Role, limits ingress.Limits) ingress.Spec {
	return ingress.Spec{
		Name: name, IdleTimeout: idleTimeout, RequestTimeout: requestBodyTimeout, Listener: ingress.Listener{
			Role: role, Limits: limits, Setting: func(key string) string { return "--" + limitFlag(prefix, key) },
		},
	}
}

// hostOf returns the memory in the settings, and the descriptors in the settings if the process may open as many.
func hostOf(s *platform.Settings) (ingress.Host, error) {
	descriptors, err := ingress.DescriptorLimit()
	if err != nil {
		return ingress.Host{}, err
	}
	if s.MaxFDs > 0 {
		descriptors = min(descriptors, s.MaxFDs)
	}
	return ingress.Host{MemoryBytes: int64(s.MemoryMB) * 1e6, Descriptors: descriptors}, nil
}

// peerLimits returns the limits for other routers; nil if the settings name no memory.
func peerLimits(s *platform.Settings, registerer prometheus.Registerer, logger *zap.Logger) *transport.Limits {
	if s.MemoryMB <= 0 {
		return nil
	}
	memory := float64(s.MemoryMB) * 1e6
	limits := transport.NewLimits(int(memory*transport.StreamMemoryFraction/transport.StreamMemory), int64(memory*messageMemoryFraction))
	limits.Report(registerer, logger)
	return limits
}
