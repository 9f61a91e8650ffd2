package httpengine

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/go-faster/errors"

	"github.com/fulmardoor/fulmardoor/internal/engine"
	"github.com/fulmardoor/fulmardoor/internal/engine/vllm"
)

// maxMetricsBytes is the maximum size of the metrics of an engine, which have some KB.
const maxMetricsBytes = 4 << 20

// Load implements engine.Engine.
func (e *Engine) Load(ctx context.Context) (engine.Load, error) {
	response, err := e.send(ctx, e.client, http.MethodGet, "/metrics", "", nil)
	if err != nil {
		return engine.Load{}, err
	}
	defer response.Body.Close()
	values, err := readGauges(io.LimitReader(response.Body, maxMetricsBytes))
	if err != nil {
		return engine.Load{}, brokenError(ctx, err)
	}
	for _, name := range []string{vllm.MetricRunning, vllm.MetricWaiting} {
		if _, ok := values[name]; !ok {
			return engine.Load{}, errors.Errorf("metric %s missing", name)
		}
	}
	return engine.Load{
		Running: int(values[vllm.MetricRunning]),
		Waiting: int(values[vllm.MetricWaiting]),
		KVUsage: values[vllm.MetricKVUsage],
	}, nil
}

// readGauges reads the load metrics from the Prometheus text format and sums the series of each metric.
func readGauges(text io.Reader) (map[string]float64, error) {
	values := make(map[string]float64)
	scanner := bufio.NewScanner(text)
	for scanner.Scan() {
		line := scanner.Text()
		name, _, _ := strings.Cut(line, "{")
		name, _, _ = strings.Cut(name, " ")
		switch name {
		case vllm.MetricRunning, vllm.MetricWaiting, vllm.MetricKVUsage:
		default:
			continue
		}
		// A label value may contain a brace or a space, so the value is the first field after the last closing brace.
		rest := line[max(strings.LastIndex(line, "}")+1, len(name)):]
		if !strings.Contains(line, "{") {
			rest = line[len(name):]
		}
		fields := strings.Fields(rest)
		if len(fields) == 0 {
			return nil, errors.Errorf("metric %s has no value", name)
		}
		value, err := strconv.ParseFloat(fields[0], 64)
		if err != nil {
			return nil, errors.Wrapf(err, "metric %s", name)
		}
		values[name] += value
	}
	return values, scanner.Err()
}
