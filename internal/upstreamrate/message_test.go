package upstreamrate

import (
	"math"
	"testing"
	"time"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/fleet"
)

// Guards against a limit that can't be raised or withdrawn any more, because its age is negative or too large for a duration.
func TestAgesThatNoLimitHas(t *testing.T) {
	for _, age := range []int64{-1, -3_600_000, math.MinInt64, math.MaxInt64, math.MaxInt64/1_000_000 + 1} {
		now := time.Now()
		limits := New("a", now)
		limits.Apply([]Limit{LimitFromMessage(&wirev1.UpstreamLimit{Upstream: "u", PerSecond: 0.5, AgeMs: age}, now)}, now)
		upstream := &fleet.Upstream{ID: "u"}
		limits.Observe(upstream, Statement{}, now.Add(time.Second), now.Add(2*time.Second))
		if limits.Limited(upstream, now.Add(2*time.Second)) {
			t.Errorf("age %d: limited after an answer that names no limit", age)
		}
	}
}

// Guards against permits that are counted with a number of requests per second that is none.
func TestRatesThatNoLimitHas(t *testing.T) {
	for _, perSecond := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1} {
		now := time.Now()
		limits := New("a", now)
		upstream := &fleet.Upstream{ID: "u"}
		limits.Observe(upstream, Statement{Named: true, PerSecond: 2}, now, now)
		limit := LimitFromMessage(&wirev1.UpstreamLimit{Upstream: "u", PerSecond: perSecond}, now.Add(time.Second))
		if changed := limits.Apply([]Limit{limit}, now.Add(time.Second)); len(changed) > 0 {
			t.Errorf("%v per second: the limit is now %+v", perSecond, changed)
		}
		if reply := limits.Serve(t.Context(), limit, false); reply.Wait < 0 || reply.Wait > time.Minute {
			t.Errorf("%v per second: wait of %v", perSecond, reply.Wait)
		}
		if known := limits.entries[limit.Key].known.PerSecond; known != 2 {
			t.Errorf("%v per second: known as %v", perSecond, known)
		}
	}
}
