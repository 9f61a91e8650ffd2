package processtest

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/fulmardoor/fulmardoor/platform/platformtest"
)

const (
	// The requests to a runner are counted from limitGrace after it first named its limit. A router that restarts is excused until
	// excuseTime after that.
	limitGrace      = 3 * time.Second
	excuseTime      = 3 * time.Second
	limitPerSecond  = 2.0
	bookingInterval = 15 * time.Millisecond
)

// excuse is a time in which the requests of a router do not count.
type excuse struct {
	router      int
	from, until time.Time
}

// mostCounted returns the largest number of requests within platformtest.LimitWindow, without those of excused routers.
func mostCounted(requests []platformtest.ReceivedRequest, from time.Time, excuses []excuse) int {
	var times []time.Time
	for _, request := range requests {
		counts := request.At.After(from)
		for _, e := range excuses {
			of := strings.HasPrefix(request.Header.Get("Fulmardoor-Request-Id"), fmt.Sprintf("%04x", e.router))
			counts = counts && !(of && request.At.After(e.from) && request.At.Before(e.until))
		}
		if counts {
			times = append(times, request.At)
		}
	}
	return platformtest.MostWithin(times, platformtest.LimitWindow)
}

// Guards against router processes that together send a runner more requests than the limit that it named, while some of them are killed, stopped, suspended
// and started again.
func TestRunnerLimitWhileRoutersRestart(t *testing.T) {
	t.Parallel()
	c := newSoakCluster(t)
	limited, other := c.runners[0], c.runners[1]
	for _, runner := range []*soakRunner{limited, other} {
		runner.SetDelay(60 * time.Millisecond) // longer than assumed for a runner that was not measured, so that each is tried
	}
	limited.SetLimit(fmt.Sprint(limitPerSecond))
	c.waitReady()
	began := time.Now()
	var running sync.WaitGroup
	load := func(until time.Duration) {
		for number := 0; time.Since(began) < until; number++ {
			router := number % len(c.routers)
			id := fmt.Sprintf("%04x%012x", router, number)
			running.Go(func() { _, _ = c.routers[router].book(t, "/book/x", id) }) // fails while the router is being restarted
			time.Sleep(bookingInterval)
		}
	}
	var loading sync.WaitGroup
	loading.Go(func() { load(18 * time.Second) })
	var excuses []excuse
	for i, disturb := range []func(r *soakRouter){
		func(r *soakRouter) { r.restart(c, syscall.SIGKILL, 500*time.Millisecond) },
		func(r *soakRouter) { r.restart(c, syscall.SIGTERM, 500*time.Millisecond) },
		func(r *soakRouter) {
			r.signal(syscall.SIGSTOP)
			c.runAfter(2500*time.Millisecond, func() { r.signal(syscall.SIGCONT) })
		},
	} {
		time.Sleep(time.Until(began.Add(limitGrace + time.Duration(i)*4*time.Second)))
		disturb(c.routers[i])
		excuses = append(excuses, excuse{i, time.Now(), time.Now().Add(4*time.Second + excuseTime)})
	}
	loading.Wait()
	running.Wait()
	requests := limited.Requests()
	if len(requests) < 10 {
		t.Fatalf("the limited runner got %d requests", len(requests))
	}
	allowed := platformtest.AllowedByLimit(limitPerSecond)
	if most := mostCounted(requests, requests[0].At.Add(limitGrace), excuses); most > allowed {
		t.Errorf("%d requests within %v, allowed %d", most, platformtest.LimitWindow, allowed)
	}
	t.Logf("%d requests in all, %d within %v", len(requests), mostCounted(requests, requests[0].At.Add(limitGrace), nil), platformtest.LimitWindow)
}
