package bench

import (
	"context"
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/verdict"
)

// delivery is what a caller has received.
type delivery struct {
	tokens int
	first  time.Duration
	last   time.Time
	// slow counts tokens that came later after their predecessor than gapTarget.
	slow int
	// conforms says that the call was within the rate of its account.
	conforms bool
}

func (d *delivery) add(n int) {
	if d.tokens > 0 && time.Since(d.last) > time.Duration(n)*gapTarget {
		d.slow += n
	}
	d.tokens += n
	d.last = time.Now()
}

// good reports whether the answer met both latency targets: the first token in time, and 95 in 100 gaps.
func (d *delivery) good() bool {
	return d.first <= firstTokenTarget && float64(d.slow) <= 0.05*float64(d.tokens)
}

// Result holds the figures of one run.
type Result struct {
	mu         sync.Mutex
	deployment Deployment
	load       Load

	Offered, WithinRate, Completed, Good, Cancelled int
	// Lost counts calls whose entry died.
	Lost int
	// RefusedWithinRate counts calls within rate that did not get their answer, by reason.
	RefusedWithinRate map[string]int
	Retried           map[string]int
	// Prefilled, and the parts that were wasted or repeated, are prompt tokens computed.
	Prefilled, Repeated int
	Wasted              map[string]int
	Late                int
	// Busy and Held are the mean shares of decode places that stream, and that are reserved or stream.
	Busy, Held     float64
	samples        int
	demand, served []float64
	firsts         []time.Duration
}

func newResult(d Deployment, load Load) *Result {
	return &Result{
		deployment:        d,
		load:              load,
		RefusedWithinRate: make(map[string]int),
		Retried:           make(map[string]int),
		Wasted:            make(map[string]int),
		demand:            make([]float64, len(accountShares)),
		served:            make([]float64, len(accountShares)),
	}
}

// causeOf names an error for the tables.
func causeOf(err error) string {
	for _, known := range []error{errEngineDied, errEngineStalled, errEvicted, errTransfer, errEntryDied, errCancelled} {
		if errors.Is(err, known) {
			return known.Error()
		}
	}
	if errors.Is(err, context.Canceled) {
		return "cancelled"
	}
	return verdict.ReasonName(verdict.As(err).Reason)
}

func (r *Result) admitted(call *Call) {
	if call.At >= r.load.Duration {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.demand[call.Account] += call.cost()
}

// finish records the end of a call. Calls of the time after the measured one are left out.
func (r *Result) finish(call *Call, d *delivery, err error) {
	if call.At >= r.load.Duration {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Offered++
	if d.conforms {
		r.WithinRate++
	}
	r.served[call.Account] += float64(d.tokens) / float64(call.Output) * call.cost()
	if d.tokens > 0 {
		r.firsts = append(r.firsts, d.first)
	}
	switch {
	case err == nil:
		r.Completed++
		if d.good() {
			r.Good++
		}
	case errors.Is(err, errCancelled):
		r.Cancelled++
	case errors.Is(err, errEntryDied):
		r.Lost++
	case d.conforms && verdict.As(err).Reason != wirev1.Reason_REASON_RATE_EXCEEDED:
		r.RefusedWithinRate[causeOf(err)]++
	}
}

func (r *Result) retried(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Retried[causeOf(err)]++
}

func (r *Result) prefilled(call *Call, tokens int) {
	if call.At >= r.load.Duration {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Prefilled += tokens
}

func (r *Result) wasted(call *Call, cause string, tokens int) {
	if tokens == 0 || call.At >= r.load.Duration {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Wasted[cause] += tokens
}

func (r *Result) repeated(call *Call, tokens int) {
	if call.At >= r.load.Duration {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Repeated += tokens
}

func (r *Result) late() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Late++
}

// sample adds the present use of the decode places to the means.
func (r *Result) sample(f *fleet) {
	r.mu.Lock()
	defer r.mu.Unlock()
	busy, held, total := 0.0, 0.0, 0.0
	for _, s := range f.sidecars {
		if s.decode == nil {
			continue
		}
		var load wirev1.Load
		s.authority.Load(&load)
		held += float64(load.Places - load.PlacesFree)
		s.decode.mu.Lock()
		busy += float64(s.decode.running)
		s.decode.mu.Unlock()
		total += decodePlaces
	}
	r.samples++
	r.Busy += (busy/total - r.Busy) / float64(r.samples)
	r.Held += (held/total - r.Held) / float64(r.samples)
}

// Goodput returns the answers within both targets as a share of capacity.
func (r *Result) Goodput() float64 {
	return float64(r.Good) / r.load.Duration.Seconds() / r.deployment.Capacity()
}

// WastedShare returns the share of prefill work that never gave a caller a token.
func (r *Result) WastedShare() float64 {
	return float64(sum(r.Wasted)) / float64(max(1, r.Prefilled))
}

// PrefillUse returns the share of the prefill engines' speed that was used.
func (r *Result) PrefillUse() float64 {
	speed := 0.0
	for i := range r.deployment.PrefillSpeeds {
		speed += r.deployment.Prefill(i)
	}
	return float64(r.Prefilled) / r.load.Duration.Seconds() / speed
}

// RepeatedShare returns the share of prefill work that continued a broken stream.
func (r *Result) RepeatedShare() float64 {
	return float64(r.Repeated) / float64(max(1, r.Prefilled))
}

// RefusedShare returns the share of calls within rate that were refused.
func (r *Result) RefusedShare() float64 {
	return float64(sum(r.RefusedWithinRate)) / float64(max(1, r.WithinRate))
}

// WorstServed returns the least share of its max-min fair share that an account received.
func (r *Result) WorstServed() float64 {
	total := 0.0
	for _, s := range r.served {
		total += s
	}
	worst := 1.0
	for account, fair := range fairShares(r.demand, total) {
		if fair > 0 {
			worst = min(worst, r.served[account]/fair)
		}
	}
	return worst
}

// fairShares divides total max-min fairly among demands, in proportion to the granted rates of the accounts.
func fairShares(demand []float64, total float64) []float64 {
	order := make([]int, len(demand))
	weights := 0.0
	for i := range order {
		order[i] = i
		weights += accountShares[i]
	}
	sort.Slice(order, func(i, j int) bool {
		return demand[order[i]]/accountShares[order[i]] < demand[order[j]]/accountShares[order[j]]
	})
	fair := make([]float64, len(demand))
	for _, i := range order {
		fair[i] = min(demand[i], total*accountShares[i]/weights)
		total -= fair[i]
		weights -= accountShares[i]
	}
	return fair
}

func sum(m map[string]int) int {
	n := 0
	for _, v := range m {
		n += v
	}
	return n
}

// percentile returns the first-token time that a share of the served calls met.
func (r *Result) percentile(share float64) time.Duration {
	if len(r.firsts) == 0 {
		return 0
	}
	sort.Slice(r.firsts, func(i, j int) bool { return r.firsts[i] < r.firsts[j] })
	return r.firsts[int(share*float64(len(r.firsts)-1))]
}

// String returns one row of the table.
func (r *Result) String() string {
	return fmt.Sprintf("goodput %5.3f  wasted %6.2f%%  repeated %5.2f%%  worst %5.3f  refused %6.2f%%  lost %3d  first p50 %5.2fs p95 %5.2fs  late %d  busy %.2f held %.2f prefill %.2f  %s",
		r.Goodput(), 100*r.WastedShare(), 100*r.RepeatedShare(), r.WorstServed(), 100*r.RefusedShare(), r.Lost,
		r.percentile(0.5).Seconds(), r.percentile(0.95).Seconds(), r.Late, r.Busy, r.Held, r.PrefillUse(), r.causes())
}

func (r *Result) causes() string {
	var parts []string
	for cause, n := range r.Wasted {
		parts = append(parts, fmt.Sprintf("waste %s %.2f%%", cause, 100*float64(n)/float64(r.Prefilled)))
	}
	for cause, n := range r.RefusedWithinRate {
		parts = append(parts, fmt.Sprintf("refused %s %d", cause, n))
	}
	for cause, n := range r.Retried {
		parts = append(parts, fmt.Sprintf("retry %s %d", cause, n))
	}
	sort.Strings(parts)
	return strings.Join(parts, ", ")
}
