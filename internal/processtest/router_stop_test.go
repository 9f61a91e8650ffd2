package processtest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/fulmardoor/fulmardoor/internal/kv/memory"
	"github.com/fulmardoor/fulmardoor/platform/platformtest"
)

const (
	// routerStopGrace is the time from SIGTERM to SIGKILL. The router plans to end routerExitMargin earlier. A router built with
	// -race keeps its connections open for one more second at its end, unless GORACE has atexit_sleep_ms=0.
	routerStopGrace  = 8 * time.Second
	routerExitMargin = 600 * time.Millisecond
	// By the users' rule, a request may be cut only if it was sent within cuttableSendTime after SIGTERM and its runner still
	// works in the last sixth of the grace, which begins lastSixth after SIGTERM.
	cuttableSendTime = 3 * time.Second
	lastSixth        = routerStopGrace * 5 / 6
	// readinessNoticeTime is the time after SIGTERM within which the load balancer has noticed it: two readiness requests, one
	// second apart. Until then it sends new connections.
	readinessNoticeTime = 2 * time.Second
	// idleStopLimit is readinessNoticeTime plus the time of a retry.
	idleStopLimit = 4500 * time.Millisecond
	// stopRequestTimeout is the time that clients wait for an answer. It is the timeout of the routes in platformtest.StopConfig.
	stopRequestTimeout = 14 * time.Second
)

// stoppingRouter is a router with one engine and one plain runner.
type stoppingRouter struct {
	*soakRouter
	t               *testing.T
	engine, service *platformtest.Runner
	lastID          atomic.Int64
	signalled       time.Time          // when SIGTERM was sent
	ended           chan time.Duration // receives the time from SIGTERM to the end of the process
}

// startRouter starts a router process with a store, and waits until it is ready.
func startRouter(t *testing.T, store *memory.Store, stopGrace time.Duration) *soakRouter {
	t.Helper()
	return startNamedRouter(t, "router-1", store, stopGrace)
}

func startNamedRouter(t *testing.T, name string, store *memory.Store, stopGrace time.Duration) *soakRouter {
	t.Helper()
	return startRouterWith(t, store, platformtest.RouterSettings{Name: name, StopGraceS: int(stopGrace.Seconds())})
}

// startRouterWith starts a router process with some settings, to which it adds the addresses.
func startRouterWith(t *testing.T, store *memory.Store, settings platformtest.RouterSettings) *soakRouter {
	t.Helper()
	c, r := configureRouter(t, store, settings)
	r.start(c)
	r.waitStarted(c)
	return r
}

// configureRouter serves the store, unless the settings have the address of one, and writes the settings file of a router, to which it adds the other
// addresses.
func configureRouter(t *testing.T, store *memory.Store, settings platformtest.RouterSettings) (*soakCluster, *soakRouter) {
	t.Helper()
	trackSources()
	if settings.Store == "" {
		server := httptest.NewServer(platformtest.NewStore(store))
		t.Cleanup(server.Close)
		settings.Store = server.Listener.Addr().String()
	}
	c := &soakCluster{t: t, dir: t.TempDir()}
	r := &soakRouter{name: settings.Name, callerAddress: freeAddress(t), readyAddress: freeAddress(t), settingsFile: filepath.Join(c.dir, settings.Name+".conf")}
	host, port := splitAddress(t, freeAddress(t))
	settings.Host, settings.Zone, settings.RateSlack = host, "here", soakRateSlack
	settings.Callers, settings.Ready, settings.Ports = r.callerAddress, r.readyAddress, port+","+port
	if err := os.WriteFile(r.settingsFile, settings.Text(), 0o600); err != nil {
		t.Fatal(err)
	}
	return c, r
}

// waitStarted waits until the router, the only one of its cluster, is ready. The logs are shown if the test fails.
func (r *soakRouter) waitStarted(c *soakCluster) {
	c.t.Helper()
	c.t.Cleanup(func() {
		if c.t.Failed() {
			showLogs(c.t, c.dir)
		}
	})
	eventually(c.t, "the router is ready", func() string {
		if !r.isReady() {
			return "not ready"
		}
		return ""
	})
}

// startStoppingRouter starts a router and waits until it serves requests.
func startStoppingRouter(t *testing.T) *stoppingRouter {
	t.Helper()
	r := &stoppingRouter{
		t:      t,
		engine: platformtest.NewRunner(t, "i-engine", "decode"), service: platformtest.NewRunner(t, "i-service", ""),
		ended: make(chan time.Duration, 1),
	}
	store := memory.New(memory.Options{})
	store.Put("op/config", []byte(platformtest.StopConfig))
	store.Put("servers/"+r.engine.ID, platformtest.Entry{Service: "llm", Address: r.engine.Address, Zone: "here", Stage: "decode", Slots: 64}.Text())
	store.Put("servers/"+r.service.ID, platformtest.Entry{Service: "shop", Address: r.service.Address, Zone: "here", Slots: 6}.Text())
	r.soakRouter = startRouter(t, store, routerStopGrace)
	for _, kind := range []string{"book", "note"} {
		eventually(t, "the router serves "+kind, func() string {
			if result := r.send(newConnection(), kind, "usual"); !result.isWhole() {
				return result.describe()
			}
			return ""
		})
	}
	return r
}

// stop sends SIGTERM.
func (r *stoppingRouter) stop() {
	r.signalled = time.Now()
	r.signal(syscall.SIGTERM)
	go func() {
		<-r.process.done
		r.ended <- time.Since(r.signalled)
	}()
}

// afterStop returns the time from SIGTERM to at.
func (r *stoppingRouter) afterStop(at time.Time) time.Duration {
	return at.Sub(r.signalled).Round(time.Millisecond)
}

// checkEnd waits for the end of the process and checks that it ended within a time after SIGTERM.
func (r *stoppingRouter) checkEnd(limit time.Duration) {
	r.t.Helper()
	select {
	case took := <-r.ended:
		if took > limit {
			r.t.Errorf("the router ended %v after SIGTERM, the limit is %v", took.Round(time.Millisecond), limit)
		}
	case <-time.After(waitTimeout):
		r.t.Fatalf("the router did not end within %v", waitTimeout)
	}
}

// newConnection returns a transport that opens a connection for each request.
func newConnection() http.RoundTripper { return &http.Transport{DisableKeepAlives: true} }

// openConnection returns a transport with an idle connection to the router, on which it sends the next request.
func (r *stoppingRouter) openConnection() http.RoundTripper {
	r.t.Helper()
	transport := &http.Transport{}
	r.t.Cleanup(transport.CloseIdleConnections)
	if result := r.send(transport, "book", "usual"); !result.isWhole() {
		r.t.Fatal(result.describe())
	}
	return transport
}

// send sends one request and waits for its answer. It uses POST for all kinds, because net/http does not retry POST requests on
// its own.
func (r *stoppingRouter) send(transport http.RoundTripper, kind, account string) soakResult {
	result := soakResult{id: fmt.Sprintf("%016x", r.lastID.Add(1)), kind: kind, account: account, router: r.name, at: time.Now()}
	request, err := http.NewRequest(http.MethodPost, "http://"+r.callerAddress+"/"+kind+"/x", strings.NewReader("body"))
	if err != nil {
		r.t.Error(err)
		return result
	}
	request.Host = "h.example"
	platformtest.SetCallerHeaders(request.Header, result.id, "key-"+account, int(stopRequestTimeout.Milliseconds()), kind == "note" || kind == "reply")
	return result.receive(&http.Client{Transport: transport, Timeout: stopRequestTimeout}, request)
}

// bookingHead returns the request line and the headers of a booking.
func (r *stoppingRouter) bookingHead(bodyLength int) string {
	header := make(http.Header)
	platformtest.SetCallerHeaders(header, fmt.Sprintf("%016x", r.lastID.Add(1)), "key-usual", int(stopRequestTimeout.Milliseconds()), false)
	var text strings.Builder
	fmt.Fprintf(&text, "POST /book/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: %d\r\n", bodyLength)
	_ = header.Write(&text) // writes to a strings.Builder never fail
	return text.String() + "\r\n"
}

// dial opens a connection to the router.
func (r *stoppingRouter) dial() net.Conn {
	r.t.Helper()
	conn, err := net.Dial("tcp", r.callerAddress)
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// stopAnswer is the answer to a booking. err is set if there was none or it was incomplete.
type stopAnswer struct {
	status int
	body   string
	err    error
}

func (a stopAnswer) String() string {
	return fmt.Sprintf("status %d, %q, error %v", a.status, a.body, a.err)
}

// readAnswer reads one answer.
func readAnswer(conn net.Conn) stopAnswer {
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodPost})
	if err != nil {
		return stopAnswer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return stopAnswer{response.StatusCode, string(text), err}
}

// isWhole reports whether the caller received a runner's complete response.
func (r *soakResult) isWhole() bool {
	return r.err == nil && r.status == http.StatusOK && r.stamp != "" && r.body == r.wantBody()
}

func (r *soakResult) describe() string {
	return fmt.Sprintf("%s: status %d, Retry-After %q, body %q, error %v", r.kind, r.status, r.retryAfter, r.body, r.err)
}

// hasRun reports whether a runner ran the request.
func (r *stoppingRouter) hasRun(result *soakResult) bool {
	return slices.ContainsFunc(append(r.engine.Requests(), r.service.Requests()...), func(seen platformtest.ReceivedRequest) bool {
		return seen.Ran && seen.Header.Get("Fulmardoor-Request-Id") == result.id
	})
}

// isTrueRefusal reports whether the request was refused with status 503 and Retry-After, and did not run.
func (r *stoppingRouter) isTrueRefusal(result *soakResult) bool {
	return result.err == nil && result.status == http.StatusServiceUnavailable && result.retryAfter != "" && !r.hasRun(result)
}

// mayBeCut reports whether the users' rule allows that the request was cut.
func (r *stoppingRouter) mayBeCut(result *soakResult) bool {
	return result.err != nil && r.afterStop(result.at) <= cuttableSendTime && r.afterStop(result.ended) >= lastSixth
}

// report reports a wrong answer.
func (r *stoppingRouter) report(what string, result *soakResult) {
	r.t.Helper()
	r.t.Errorf("%s: sent %v and ended %v after SIGTERM, ran %v; %s", what, r.afterStop(result.at), r.afterStop(result.ended), r.hasRun(result), result.describe())
}

// checkStream checks that a stream was served or refused, or was cut when that is allowed.
func (r *stoppingRouter) checkStream(result *soakResult) {
	r.t.Helper()
	if !result.isWhole() && !r.isTrueRefusal(result) && !r.mayBeCut(result) {
		r.report("stream neither complete nor refused", result)
	}
}

// scheduledRequest is a request that a client sends at a time after SIGTERM.
type scheduledRequest struct {
	after     time.Duration
	transport http.RoundTripper
	kind      string
}

// onBothConnections returns requests that are sent at the given times, each on an open and on a new connection.
func (r *stoppingRouter) onBothConnections(kind string, times ...time.Duration) []scheduledRequest {
	r.t.Helper()
	var requests []scheduledRequest
	for _, after := range times {
		requests = append(requests, scheduledRequest{after, r.openConnection(), kind}, scheduledRequest{after, newConnection(), kind})
	}
	return requests
}

// sendScheduled sends requests at their times and waits for their answers.
func (r *stoppingRouter) sendScheduled(requests []scheduledRequest) []soakResult {
	results := make([]soakResult, len(requests))
	var running sync.WaitGroup
	for i, request := range requests {
		running.Go(func() {
			time.Sleep(time.Until(r.signalled.Add(request.after)))
			results[i] = r.send(request.transport, request.kind, "usual")
		})
	}
	running.Wait()
	return results
}

// Guards against a stream that a stopping router accepts and cuts when its process ends.
func TestStreamsCutByRouterStop(t *testing.T) {
	t.Parallel()
	const streamTime = 5 * time.Second
	r := startStoppingRouter(t)
	requests := r.onBothConnections("note", 100*time.Millisecond, 2*time.Second, 3200*time.Millisecond, 3300*time.Millisecond)
	r.engine.SetDelay(streamTime / (platformtest.StreamEvents - 1))
	r.stop()
	for i, result := range r.sendScheduled(requests) {
		r.checkStream(&result)
		if requests[i].after < time.Second && !result.isWhole() {
			r.report("stream with enough time left not served", &result)
		}
	}
	r.checkEnd(routerStopGrace)
}

// Guards against a stopping router that cuts a stream because its engine is silent for a while, although the engine goes on and no
// other one can take the stream.
func TestStreamOfSilentEngineCutByRouterStop(t *testing.T) {
	t.Parallel()
	const silence = 1500 * time.Millisecond
	r := startStoppingRouter(t)
	requests := r.onBothConnections("reply", 100*time.Millisecond, 2*time.Second)
	r.engine.SetSilence(silence, 3)
	r.stop()
	for _, result := range r.sendScheduled(requests) {
		if !result.isWhole() && !r.isTrueRefusal(&result) {
			r.report("stream neither complete nor refused", &result)
		}
	}
	r.checkEnd(routerStopGrace)
}

// Guards against a plain request whose connection is closed without an answer, because it still runs when a stopping router ends.
func TestPlainRequestsCutByRouterStop(t *testing.T) {
	t.Parallel()
	const plainTime = 3 * time.Second
	r := startStoppingRouter(t)
	requests := r.onBothConnections("book", routerStopGrace-routerExitMargin-time.Second)
	runsBefore := r.service.Runs()
	r.service.SetDelay(2 * routerStopGrace)
	first := make(chan soakResult, 1) // runs until the router ends
	go func() { first <- r.send(newConnection(), "book", "usual") }()
	eventually(t, "the first request runs", func() string {
		if r.service.Runs() == runsBefore {
			return "not yet"
		}
		return ""
	})
	r.service.SetDelay(plainTime)
	r.stop()
	results := r.sendScheduled(requests)
	for _, result := range append(results, <-first) {
		switch {
		case result.err != nil:
			r.report("plain request without a complete answer", &result)
		case result.status == http.StatusServiceUnavailable && !r.isTrueRefusal(&result):
			r.report("plain request with a false refusal", &result)
		case result.status < http.StatusInternalServerError && !result.isWhole():
			r.report("plain request with a wrong answer", &result)
		}
	}
	r.checkEnd(routerStopGrace)
}

// Guards against a stopping router that has nothing to do and does not end, because clients still send it requests that it refuses.
func TestRefusedRequestsDelayRouterStop(t *testing.T) {
	t.Parallel()
	const sendInterval = 100 * time.Millisecond
	for name, request := range map[string]struct{ kind, account string }{
		"streams":     {"note", "usual"}, // served at once, and refused later
		"unknown key": {"book", "unknown"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := startStoppingRouter(t)
			r.stop()
			var mu sync.Mutex // guards results
			var results []soakResult
			var running sync.WaitGroup
			for ticker := time.NewTicker(sendInterval); !r.process.hasEnded(); <-ticker.C {
				running.Go(func() {
					result := r.send(newConnection(), request.kind, request.account)
					mu.Lock()
					defer mu.Unlock()
					results = append(results, result)
				})
			}
			running.Wait()
			for _, result := range results {
				switch {
				case result.err != nil && (r.afterStop(result.at) < readinessNoticeTime || r.hasRun(&result)):
					r.report("request without a complete answer", &result)
				case result.err == nil && result.status == http.StatusServiceUnavailable && !r.isTrueRefusal(&result):
					r.report("false refusal", &result)
				}
			}
			r.checkEnd(idleStopLimit)
		})
	}
}

// Guards against a request on an open connection that a stopping router drops without an answer, because it arrives just after the
// listener was closed.
func TestRequestsDroppedAtListenerClose(t *testing.T) {
	t.Parallel()
	const connections = 8
	r := startStoppingRouter(t)
	var open []net.Conn
	for range connections {
		open = append(open, r.dial())
	}
	r.stop()
	for ; ; time.Sleep(time.Millisecond) { // eventually polls too slowly for the time in which requests are still answered
		conn, err := net.Dial("tcp", r.callerAddress)
		if err != nil {
			break
		}
		_ = conn.Close()
	}
	for i, conn := range open {
		if _, err := io.WriteString(conn, r.bookingHead(0)); err != nil {
			t.Fatalf("connection %d: %v", i, err)
		}
	}
	for i, conn := range open {
		if got := readAnswer(conn); got.err != nil || got.status != http.StatusServiceUnavailable {
			t.Errorf("connection %d: %v", i, got)
		}
	}
	r.checkEnd(routerStopGrace)
}

// Guards against a booking that starts at the service when the router is about to end, because the time left is compared when the
// headers arrive and not again when the body is complete.
func TestRouterDoesNotStartRequestJustBeforeItEnds(t *testing.T) {
	t.Parallel()
	const bookingTime = 500 * time.Millisecond
	r := startStoppingRouter(t)
	r.service.SetDelay(bookingTime)
	runsBefore := r.service.Runs()
	conn := r.dial()
	if _, err := io.WriteString(conn, r.bookingHead(2)+"1"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(200 * time.Millisecond) // the router reads the headers
	r.stop()
	answers := make(chan stopAnswer, 1)
	go func() { answers <- readAnswer(conn) }() // a refusal may come before the booking is complete
	time.Sleep(time.Until(r.signalled.Add(routerStopGrace - routerExitMargin - 100*time.Millisecond)))
	sentAt := time.Now()
	_, _ = io.WriteString(conn, "2") // fails if the router has refused the booking already
	got := <-answers
	runs := r.service.Runs() - runsBefore
	served := got.err == nil && got.status == http.StatusOK && runs == 1
	refused := got.err == nil && got.status == http.StatusServiceUnavailable && runs == 0
	if !served && !refused {
		t.Errorf("booking complete %v after SIGTERM: %v after %d runs", r.afterStop(sentAt), got, runs)
	}
	r.checkEnd(routerStopGrace)
}
