package ingress

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
)

// Spec describes the guard of one listener.
type Spec struct {
	Listener
	// Name is the label of the listener in metrics and log lines.
	Name string
	// IdleTimeout and RequestTimeout are as in Options.
	IdleTimeout, RequestTimeout time.Duration
	// Refuse is as in Options.
	Refuse http.Handler
}

// Guards returns the guards of all listeners of a process, in the order of the specs. The error names the limits that the host cannot hold.
func Guards(host Host, registerer prometheus.Registerer, logger *zap.Logger, specs ...Spec) ([]*Guard, error) {
	listeners := make([]Listener, len(specs))
	for i, spec := range specs {
		listeners[i] = spec.Listener
	}
	limits, err := Resolve(host, listeners...)
	if err != nil {
		return nil, err
	}
	metrics := NewMetrics(registerer)
	guards := make([]*Guard, len(specs))
	for i, spec := range specs {
		guards[i] = NewGuard(Options{
			Name: spec.Name, Limits: limits[i], Metrics: metrics, Logger: logger, IdleTimeout: spec.IdleTimeout, RequestTimeout: spec.RequestTimeout,
			Refuse: spec.Refuse,
		})
		logLimits(logger, spec.Name, limits[i])
	}
	return guards, nil
}

func logLimits(logger *zap.Logger, listener string, l Limits) {
	logger.Info("limits for clients", zap.String("listener", listener), zap.Int(KeyMaxConnections, l.MaxConnections), zap.Int(KeyMaxPerAddress, l.MaxPerAddress),
		zap.Int(KeyMaxRequests, l.MaxRequests), zap.Int64(KeyHeadMemory, l.HeadMemory), zap.Int64(KeyReceiveMemory, l.ReceiveMemory), zap.Int(KeyMaxHeadBytes, l.MaxHeadBytes), zap.Int(KeyMaxHeadLines, l.MaxHeadLines),
		zap.Duration(KeyHeadTimeout, l.HeadTimeout), zap.Duration(KeyBodyTimeout, l.BodyTimeout), zap.Duration(KeyWriteTimeout, l.WriteTimeout))
}
