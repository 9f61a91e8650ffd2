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
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/fulmardoor/fulmardoor/internal/kv/memory"
	"github.com/fulmardoor/fulmardoor/platform/platformtest"
)

const (
	// bookingTime is how long slowService works on a request.
	bookingTime = 500 * time.Millisecond
	// stopConfig is the operator's configuration. Its timeout is longer than any stop grace in these tests.
	stopConfig = `{"version":1,"routes":[{"name":"book","host":"h.example","path_prefix":"/book/","kind":"non_idempotent","timeout_ms":10000,
"latency_goal_ms":300,"service":"shop","attempts":1,"public":true}],"services":[{"name":"shop","max_conns":100}],
"limits":{"max_header_bytes":16384,"max_body_bytes":1000000,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`
)

// slowService is a plain service whose requests take bookingTime.
type slowService struct{ runs atomic.Int32 }

// ServeHTTP implements http.Handler.
func (s *slowService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // the run counts even if the body is cut off
	s.runs.Add(1)
	time.Sleep(bookingTime)
	w.Header().Set("Fulmardoor-Request-Id", r.Header.Get("Fulmardoor-Request-Id"))
	w.Header().Set("Fulmardoor-Response-Stamp", "stamp")
	_, _ = io.WriteString(w, "booked")
}

// stopTest is a router process with one slowService.
type stopTest struct {
	t         *testing.T
	service   *slowService
	router    *soakRouter
	stopGrace time.Duration
	nextID    int
}

func newStopTest(t *testing.T, stopGrace time.Duration) *stopTest {
	t.Helper()
	s := &stopTest{t: t, service: new(slowService), stopGrace: stopGrace}
	service := httptest.NewServer(s.service)
	t.Cleanup(service.Close)
	store := memory.New(memory.Options{})
	store.Put("op/config", []byte(stopConfig))
	store.Put("servers/i-1", platformtest.Entry{Service: "shop", Address: service.Listener.Addr().String(), Zone: "here", Slots: 6}.Text())
	s.router = startRouter(t, store, stopGrace)
	eventually(t, "a booking is answered", func() string {
		conn, err := net.Dial("tcp", s.router.callerAddress)
		if err != nil {
			return err.Error()
		}
		defer func() { _ = conn.Close() }()
		if _, err := io.WriteString(conn, s.bookingHead(0)); err != nil {
			return err.Error()
		}
		if got := readAnswer(conn); got.err != nil || got.status != http.StatusOK {
			return got.String()
		}
		return ""
	})
	s.service.runs.Store(0)
	return s
}

// startRouter starts a router process with a store, and waits until it is ready.
func startRouter(t *testing.T, store *memory.Store, stopGrace time.Duration) *soakRouter {
	t.Helper()
	trackSources()
	server := httptest.NewServer(platformtest.NewStore(store))
	t.Cleanup(server.Close)
	c := &soakCluster{t: t, dir: t.TempDir()}
	r := &soakRouter{name: "router-1", callerAddress: freeAddress(t), readyAddress: freeAddress(t), settingsFile: filepath.Join(c.dir, "router-1.conf")}
	host, port := splitAddress(t, freeAddress(t))
	settings := platformtest.RouterSettings{
		Name: r.name, Host: host, Zone: "here", Store: server.Listener.Addr().String(), Callers: r.callerAddress, Ready: r.readyAddress,
		Ports: port + "," + port, StopGraceS: int(stopGrace.Seconds()), RateSlack: soakRateSlack,
	}
	if err := os.WriteFile(r.settingsFile, settings.Text(), 0o600); err != nil {
		t.Fatal(err)
	}
	r.start(c)
	t.Cleanup(func() {
		if t.Failed() {
			showLogs(t, c.dir)
		}
	})
	eventually(t, "the router is ready", func() string {
		if !r.isReady() {
			return "not ready"
		}
		return ""
	})
	return r
}

// bookingHead returns the request line and the headers of a new booking.
func (s *stopTest) bookingHead(bodyLength int) string {
	s.nextID++
	header := make(http.Header)
	platformtest.SetCallerHeaders(header, fmt.Sprintf("%016x", s.nextID), "", 10000, false)
	var text strings.Builder
	fmt.Fprintf(&text, "POST /book/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: %d\r\n", bodyLength)
	_ = header.Write(&text) // writes to a strings.Builder never fail
	return text.String() + "\r\n"
}

func (s *stopTest) dial() net.Conn {
	s.t.Helper()
	conn, err := net.Dial("tcp", s.router.callerAddress)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = conn.Close() })
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

// finishBooking sends the rest of a booking after SIGTERM and checks that the booking is not cut: the answer is the service's, or a
// refusal if the booking did not run. It also checks that the router exits within the stop grace.
func (s *stopTest) finishBooking(conn net.Conn, rest string, signalled time.Time) {
	s.t.Helper()
	answers := make(chan stopAnswer, 1)
	go func() { answers <- readAnswer(conn) }() // a refusal may come before the booking is complete
	sentAfter := time.Since(signalled)
	_, _ = io.WriteString(conn, rest) // fails if the router has refused the booking already
	got := <-answers
	runs := s.service.runs.Load()
	served := got.err == nil && got.status == http.StatusOK && runs == 1
	refused := got.err == nil && got.status == http.StatusServiceUnavailable && runs == 0
	if !served && !refused {
		s.t.Errorf("booking complete %v after SIGTERM: %v after %d runs", sentAfter.Round(time.Millisecond), got, runs)
	}
	s.router.process.waitExit()
	if took := time.Since(signalled); took > s.stopGrace {
		s.t.Errorf("the router exits %v after SIGTERM, the stop grace is %v", took, s.stopGrace)
	}
}

// Guards against a booking that starts at the service when the router is about to end, because the time left is compared when the
// headers arrive and not again when the body is complete.
func TestRouterDoesNotStartRequestJustBeforeItEnds(t *testing.T) {
	t.Parallel()
	s := newStopTest(t, 4*time.Second)
	conn := s.dial()
	if _, err := io.WriteString(conn, s.bookingHead(2)+"1"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(200 * time.Millisecond) // the router reads the headers
	signalled := time.Now()
	s.router.signal(syscall.SIGTERM)
	time.Sleep(s.stopGrace - 700*time.Millisecond) // the router ends itself 0.6 s before the stop grace is over
	s.finishBooking(conn, "2", signalled)
}
