package processtest

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fulmardoor/fulmardoor/internal/kv/memory"
	"github.com/fulmardoor/fulmardoor/platform/platformtest"
)

const (
	// cutOffLeaveTime is when the runner leaves after the begin of the first cut. The routers in touch have read the list by then.
	cutOffLeaveTime = 1500 * time.Millisecond
	// cutOffWatchTime is how long bookings are sent after the last cut: longer than a router keeps a missing runner.
	cutOffWatchTime = 3500 * time.Millisecond
	// outageReturnTime is how long runners may take after an outage of the store to announce themselves again, and noticeTime how long after that the
	// routers may take to notice it.
	outageReturnTime = 2 * time.Second
	noticeTime       = time.Second
	// skewTime is by how much longer a router that lost the store may take to apply a version (bounds.skew_max_ms).
	skewTime       = 5 * time.Second
	cutOffInterval = 20 * time.Millisecond
)

// cutOffCluster has three routers, each with its own way to the store. The first one reads the list of runners for all.
type cutOffCluster struct {
	t       *testing.T
	store   *memory.Store
	server  string   // the address of the store
	relays  []*relay // to the store, by router
	routers []*soakRouter
	runners []*platformtest.Runner
	lastID  atomic.Int64
}

func startCutOffCluster(t *testing.T, runners int) *cutOffCluster {
	t.Helper()
	c := &cutOffCluster{t: t, store: memory.New(memory.Options{})}
	server := httptest.NewServer(platformtest.NewStore(c.store))
	t.Cleanup(server.Close)
	c.server = server.Listener.Addr().String()
	c.store.Put("op/config", []byte(platformtest.StopConfig))
	for i := range runners {
		c.runners = append(c.runners, platformtest.NewRunner(t, fmt.Sprintf("i-%d", i), ""))
		c.announce(i)
	}
	for i := range 3 {
		c.relays = append(c.relays, startRelay(t, c.server))
		c.routers = append(c.routers, startRouterWith(t, c.store, platformtest.RouterSettings{
			Name: fmt.Sprintf("router-%d", i), Store: c.relays[i].address, StopGraceS: int(routerStopGrace.Seconds()),
		}))
	}
	for _, r := range c.routers {
		eventually(t, r.name+" is connected and serves", func() string {
			if connected := strings.Count(r.process.output(), `"peer connected"`); connected < len(c.routers)-1 {
				return fmt.Sprintf("%d connections", connected)
			}
			if status, err := c.book(r); status != http.StatusOK {
				return fmt.Sprint(status, err)
			}
			return ""
		})
	}
	return c
}

func (c *cutOffCluster) key(runner int) string { return "servers/" + c.runners[runner].ID }

func (c *cutOffCluster) announce(runner int) {
	c.store.Put(c.key(runner), platformtest.Entry{Service: "shop", Address: c.runners[runner].Address, Zone: "here", Slots: 6}.Text())
}

func (c *cutOffCluster) book(r *soakRouter) (int, error) {
	return r.book(c.t, "/book/x", fmt.Sprintf("%016x", c.lastID.Add(1)))
}

// bookUntil sends bookings to a router until a time, and calls got with each status.
func (c *cutOffCluster) bookUntil(r *soakRouter, end time.Time, got func(sentAt time.Time, status int, err error)) {
	for time.Now().Before(end) {
		sentAt := time.Now()
		status, err := c.book(r)
		got(sentAt, status, err)
		time.Sleep(cutOffInterval)
	}
}

// cutFault is how a relay cuts a router off from the store.
type cutFault func(t *testing.T, r *relay)

func resetCut(_ *testing.T, r *relay) {
	r.setTarget("")
	r.reset()
}

// silentCut makes open and new connections deliver nothing.
func silentCut(t *testing.T, r *relay) {
	silent, err := net.Listen("tcp", "127.0.0.1:0") // does not accept
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = silent.Close() })
	r.setTarget(silent.Addr().String())
	r.blackhole()
}

// refusedCut makes each call to the store end with 503.
func refusedCut(t *testing.T, r *relay) {
	busy := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }))
	t.Cleanup(busy.Close)
	r.setTarget(busy.Listener.Addr().String())
	r.reset()
}

func (c *cutOffCluster) endCut(router int) {
	c.relays[router].setTarget(c.server)
	c.relays[router].reset()
}

// storeCut cuts a router off from the store for some time after the begin of a test.
type storeCut struct {
	router   int
	how      cutFault
	from, to time.Duration
	// restartAt is when the process is killed and started again; zero if it is not.
	restartAt time.Duration
}

// Guards against bookings that reach a runner that has left more than drain_ms ago: a router that was cut off from the store takes the entry that it misses
// for one that lapsed, and routers that were in touch all the time learn from it that the runner is there.
func TestRunnerStaysGoneAfterRouterWasCutOff(t *testing.T) {
	for name, cuts := range map[string][]storeCut{
		"reset":               {{router: 0, how: resetCut, to: 4 * time.Second}},
		"silent":              {{router: 0, how: silentCut, to: 4 * time.Second}},
		"refused":             {{router: 0, how: refusedCut, to: 4 * time.Second}},
		"one after the other": {{router: 0, how: resetCut, to: 4 * time.Second}, {router: 1, how: silentCut, from: time.Second, to: 4500 * time.Millisecond}},
		"killed meanwhile":    {{router: 0, how: resetCut, to: 4 * time.Second, restartAt: 2 * time.Second}},
		"not the reader":      {{router: 1, how: resetCut, to: 4 * time.Second}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := startCutOffCluster(t, 1)
			began := time.Now()
			inTouch := map[*soakRouter]bool{c.routers[0]: true, c.routers[1]: true, c.routers[2]: true}
			var playing sync.WaitGroup
			end := began
			for _, cut := range cuts {
				delete(inTouch, c.routers[cut.router])
				if to := began.Add(cut.to + cutOffWatchTime); to.After(end) {
					end = to
				}
				playing.Go(func() { c.play(cut, began) })
			}
			for r := range inTouch {
				playing.Go(func() { c.bookUntil(r, end, func(time.Time, int, error) {}) })
			}
			time.Sleep(time.Until(began.Add(cutOffLeaveTime)))
			c.store.Remove(c.key(0))
			left := time.Now()
			playing.Wait()
			late, before := 0, 0
			for _, seen := range c.runners[0].Requests() {
				if seen.At.Before(left) {
					before++
				} else if seen.At.Sub(left) > leavingDrainTime {
					late++
				}
			}
			if late > 0 || before == 0 {
				t.Errorf("%d bookings reached the runner before it left, and %d more than %v after it", before, late, leavingDrainTime)
			}
		})
	}
}

func (c *cutOffCluster) play(cut storeCut, began time.Time) {
	r := c.routers[cut.router]
	time.Sleep(time.Until(began.Add(cut.from)))
	cut.how(c.t, c.relays[cut.router])
	if cut.restartAt > 0 {
		time.Sleep(time.Until(began.Add(cut.restartAt)))
		r.process.kill()
		r.start(&soakCluster{t: c.t, dir: c.t.TempDir()})
	}
	time.Sleep(time.Until(began.Add(cut.to)))
	c.endCut(cut.router)
}

// Guards against routers that refuse bookings after an outage of the store in which all entries lapsed, or that still use a runner that does not come back.
func TestRunnersAreUsedAfterOutageOfStore(t *testing.T) {
	for name, how := range map[string]cutFault{"reset": resetCut, "silent": silentCut} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := startCutOffCluster(t, 2)
			for _, r := range c.relays {
				how(t, r)
			}
			time.Sleep(4 * time.Second)
			c.store.Remove(c.key(0))
			c.store.Remove(c.key(1))
			for i := range c.routers {
				c.endCut(i)
			}
			back := time.Now()
			announced := back.Add(outageReturnTime - 200*time.Millisecond)
			var playing sync.WaitGroup
			for _, r := range c.routers {
				playing.Go(func() {
					c.bookUntil(r, back.Add(outageReturnTime+4*noticeTime), func(sentAt time.Time, status int, err error) {
						if unconfirmed := sentAt.Before(announced); status != http.StatusOK && (unconfirmed || sentAt.After(announced.Add(noticeTime))) {
							t.Errorf("%s, %v after the return of the store: status %d, %v", r.name, sentAt.Sub(back).Round(time.Millisecond), status, err)
						}
					})
				})
			}
			time.Sleep(time.Until(announced))
			c.announce(0)
			playing.Wait()
			for _, seen := range c.runners[1].Requests() {
				if after := seen.At.Sub(back); after > outageReturnTime+2*noticeTime {
					t.Fatalf("a booking reached the runner that did not come back %v after the return of the store", after)
				}
			}
		})
	}
}

// Guards against a router that was cut off from the store and serves or spreads the version of the configuration that it had, and against one that is not
// told of the newer one by the routers in touch.
func TestConfigurationWhileRouterIsCutOff(t *testing.T) {
	t.Parallel()
	c := startCutOffCluster(t, 1)
	silentCut(t, c.relays[0])
	c.store.Put("op/config", []byte(strings.NewReplacer(`"version":1`, `"version":2`, `"/book/"`, `"/order/"`).Replace(platformtest.StopConfig)))
	written := time.Now()
	statuses := func(r *soakRouter) [2]int { return [2]int{r.statusOf(t, "/order/x"), r.statusOf(t, "/book/x")} }
	inForce := [2]int{http.StatusOK, http.StatusNotFound}
	for i, r := range c.routers {
		limit := configApplyTime
		if i == 0 {
			limit += skewTime
		}
		for statuses(r) != inForce {
			if time.Since(written) > limit {
				t.Fatalf("%s has not applied the new version %v after it was written", r.name, limit)
			}
			time.Sleep(cutOffInterval)
		}
	}
	time.Sleep(time.Until(written.Add(configApplyTime + skewTime)))
	c.endCut(0)
	for returned := time.Now(); time.Since(returned) < cutOffWatchTime; time.Sleep(cutOffInterval) {
		for _, r := range c.routers {
			if got := statuses(r); got != inForce {
				t.Fatalf("%s, %v after the return: status %v, want %v", r.name, time.Since(returned), got, inForce)
			}
		}
	}
}
