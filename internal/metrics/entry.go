package metrics

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/verdict"
)

// CauseCallerDisconnected is the cause of a wasted prefill whose caller disconnected.
const CauseCallerDisconnected = "caller_gone"

// Entry holds the collectors of an entry process.
type Entry struct {
	Registry *prometheus.Registry
	// Accounts compares the tokens that client accounts requested with those that they were granted and served.
	Accounts *Accounts

	served            *prometheus.CounterVec
	goodput           *prometheus.CounterVec
	refused           *prometheus.CounterVec
	refusedWithinRate *prometheus.CounterVec
	retried           *prometheus.CounterVec
	callerDisconnects prometheus.Counter
	firstToken        *prometheus.HistogramVec
	tokenGap          *prometheus.HistogramVec
	prefillTokens     *prometheus.CounterVec
	prefillWasted     *prometheus.CounterVec
	placeWaiters      *prometheus.GaugeVec
	placeWaitTime     *prometheus.HistogramVec
	admissionWaitTime prometheus.Histogram
}

// NewEntry returns collectors that are registered in a new registry.
func NewEntry() *Entry {
	m := &Entry{
		Registry: NewRegistry(),
		Accounts: NewAccounts(),
		served:   counterVec("requests_served_total", "Requests that got their whole answer.", "kind", "pool"),
		goodput: counterVec("latency_targets_total",
			"Whole answers of model requests by whether both latency targets were met; met=\"yes\" is the goodput.", "model", "met"),
		refused: counterVec("requests_refused_total", "Requests refused, by reason and verdict.", "reason", "verdict"),
		refusedWithinRate: counterVec("requests_refused_within_rate_total",
			"Requests refused although within their account's rate and without fault of the caller, by reason and verdict.",
			"reason", "verdict"),
		retried:           counterVec("retries_total", "Further attempts of requests, by the reason of the failed attempt.", "kind", "reason"),
		callerDisconnects: counter("callers_lost_total", "Requests whose caller went away."),
		firstToken:        histogramVec("first_token_seconds", "Time to the first token.", firstTokenBuckets, "model"),
		tokenGap:          histogramVec("token_gap_seconds", "Time between tokens.", tokenGapBuckets, "model"),
		prefillTokens:     counterVec("prefill_tokens_total", "Prompt tokens given to prefill engines that ran them.", "model"),
		prefillWasted: counterVec("prefill_wasted_tokens_total",
			"Prompt tokens whose prefill ran and was not used by a decode engine, by cause.", "model", "cause"),
		placeWaiters: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: namespace, Name: "place_waits", Help: "Requests of this process that wait for a place now.",
		}, []string{"pool", "role"}),
		placeWaitTime: histogramVec("place_wait_seconds", "Time that requests waited for a place, by whether they got one.",
			waitBuckets, "pool", "role", "granted"),
		admissionWaitTime: histogram("admission_wait_seconds",
			"Time that requests waited because the process ran as many as it may; others do not wait.",
			waitBuckets),
	}
	m.Registry.MustRegister(m.served, m.goodput, m.refused, m.refusedWithinRate, m.retried, m.callerDisconnects,
		m.firstToken, m.tokenGap, m.prefillTokens, m.prefillWasted, m.placeWaiters, m.placeWaitTime, m.admissionWaitTime,
		gaugeFunc("account_least_granted_ratio",
			"Least share of granted to asked tokens over the client accounts of the last minute; 1 without any.",
			func() float64 { return m.Accounts.LeastGranted().Ratio }),
		gaugeFunc("account_least_served_ratio",
			"Least share of tokens of whole answers to all tokens within rate over the client accounts of the last minute; 1 without any.",
			func() float64 { return m.Accounts.LeastServed().Ratio }))
	return m
}

// Served counts a request that got a complete response. kind is "model" or "service".
func (m *Entry) Served(kind, pool string) { m.served.WithLabelValues(kind, pool).Inc() }

// Refused counts a refused request.
func (m *Entry) Refused(refusal *verdict.Refusal) {
	reason, outcome := verdict.ReasonName(refusal.Reason), refusal.Verdict.String()
	m.refused.WithLabelValues(reason, outcome).Inc()
	if WithinRate(refusal.Reason) {
		m.refusedWithinRate.WithLabelValues(reason, outcome).Inc()
	}
}

// WithinRate reports whether a refusal with this reason concerns a request within its account's rate that was not refused
// because of an error of its caller.
func WithinRate(reason wirev1.Reason) bool {
	switch reason {
	case wirev1.Reason_REASON_RATE_EXCEEDED, wirev1.Reason_REASON_REQUEST_TOO_LARGE_FOR_BURST,
		wirev1.Reason_REASON_KEY_MISSING, wirev1.Reason_REASON_KEY_UNKNOWN, wirev1.Reason_REASON_KEY_WITHDRAWN,
		wirev1.Reason_REASON_NO_ROUTE, wirev1.Reason_REASON_UNKNOWN_MODEL, wirev1.Reason_REASON_BODY_TOO_LARGE,
		wirev1.Reason_REASON_MALFORMED, wirev1.Reason_REASON_REQUEST_TIMEOUT:
		return false
	default:
		return true
	}
}

// Retried counts a repeated attempt. kind is "model" or "service", and reason is that of the failed attempt.
func (m *Entry) Retried(kind string, reason wirev1.Reason) {
	m.retried.WithLabelValues(kind, verdict.ReasonName(reason)).Inc()
}

// CallerDisconnected counts a request whose caller disconnected.
func (m *Entry) CallerDisconnected() { m.callerDisconnects.Inc() }

// Latency counts a complete response to a model request by whether it met both latency targets.
func (m *Entry) Latency(model string, met bool) {
	value := "no"
	if met {
		value = "yes"
	}
	m.goodput.WithLabelValues(model, value).Inc()
}

// FirstToken observes the time to the first token.
func (m *Entry) FirstToken(model string, d time.Duration) {
	m.firstToken.WithLabelValues(model).Observe(d.Seconds())
}

// TokenGap observes the time between two tokens.
func (m *Entry) TokenGap(model string, d time.Duration) {
	m.tokenGap.WithLabelValues(model).Observe(d.Seconds())
}

// Prefilled counts the prompt tokens of a prefill that ran.
func (m *Entry) Prefilled(model string, tokens uint32) {
	m.prefillTokens.WithLabelValues(model).Add(float64(tokens))
}

// PrefillWasted counts the prompt tokens of a prefill that ran and whose result no decode engine used. cause is the name of
// a reason or CauseCallerDisconnected.
func (m *Entry) PrefillWasted(model, cause string, tokens uint32) {
	m.prefillWasted.WithLabelValues(model, cause).Add(float64(tokens))
}

// StartPlaceWait counts a request that starts to wait for a place. It does not block; the caller calls end when the wait is
// over.
func (m *Entry) StartPlaceWait(pool, role string) (end func(granted bool)) {
	start := time.Now()
	waiting := m.placeWaiters.WithLabelValues(pool, role)
	waiting.Inc()
	return func(granted bool) {
		waiting.Dec()
		value := "no"
		if granted {
			value = "yes"
		}
		m.placeWaitTime.WithLabelValues(pool, role, value).Observe(time.Since(start).Seconds())
	}
}

// WaitedForAdmission observes the time that a request waited because the process was at its limit of running requests.
func (m *Entry) WaitedForAdmission(d time.Duration) { m.admissionWaitTime.Observe(d.Seconds()) }

// WatchAdmission registers the gauges of the requests that run in the process or wait for admission.
func (m *Entry) WatchAdmission(read func() (running, waiting int)) {
	m.Registry.MustRegister(
		gaugeFunc("requests_running", "Requests that run in this process now.", func() float64 {
			running, _ := read()
			return float64(running)
		}),
		gaugeFunc("requests_waiting", "Requests that wait because this process runs as many as it may.", func() float64 {
			_, waiting := read()
			return float64(waiting)
		}))
}

// Shard is the state of a ledger shard.
type Shard struct {
	State string
	// Owned is set if this process knows which process grants tokens to the shard's accounts.
	Owned bool
}

// WatchShards registers the gauges of the ledger shards as known to this process.
func (m *Entry) WatchShards(read func() []Shard) {
	m.Registry.MustRegister(
		gaugeFunc("ledger_shards_without_owner",
			"Ledger shards for which this process knows no process that grants tokens; their accounts are refused.",
			func() float64 {
				missing := 0
				for _, s := range read() {
					if !s.Owned {
						missing++
					}
				}
				return float64(missing)
			}),
		collectorFunc{
			desc:      description("ledger_shards", "Ledger shards by their state as this process sees it.", "state"),
			valueType: prometheus.GaugeValue,
			collect: func(emit func(float64, ...string)) {
				counts := make(map[string]int)
				for _, s := range read() {
					counts[s.State]++
				}
				for state, count := range counts {
					emit(float64(count), state)
				}
			},
		})
}
