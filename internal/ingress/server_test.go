package ingress

import (
	"bufio"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"math/big"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

const (
	// shortTimeout is a limit that a test waits for, and longWait more than any test needs.
	shortTimeout = 200 * time.Millisecond
	longWait     = 10 * time.Second
)

// testServer is a guarded server on a loopback address.
type testServer struct {
	*Server
	t       testing.TB
	guard   *Guard
	address string
}

// testLimits are far from what ordinary requests need.
func testLimits() Limits {
	return Limits{
		MaxConnections: 20, MaxPerAddress: 20, MaxRequests: 20, HeadMemory: 1 << 20, ReceiveMemory: 1 << 20, MaxHeadBytes: 16 << 10, MaxHeadLines: 1000,
		HeadTimeout: longWait, BodyTimeout: longWait, WriteTimeout: longWait,
	}
}

// serve starts a guarded server.
func serve(t testing.TB, limits Limits, tlsConfig *tls.Config, handler http.HandlerFunc) *testServer {
	t.Helper()
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &testServer{t: t, address: plain.Addr().String(), guard: NewGuard(Options{
		Name: "callers", Limits: limits, Metrics: NewMetrics(prometheus.NewRegistry()), Logger: zap.NewNop(), IdleTimeout: longWait, RequestTimeout: longWait,
	})}
	listener := plain
	if tlsConfig != nil {
		listener = tls.NewListener(Handshakes(plain), tlsConfig)
	}
	s.Server = s.guard.Server(listener, handler)
	go func() { _ = s.Run() }()
	t.Cleanup(func() { _ = s.Close() })
	return s
}

// echo answers with the method and the body of a request, or with status 408.
func echo(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		http.Error(w, "late", http.StatusRequestTimeout)
		return
	}
	_, _ = fmt.Fprintf(w, "%s %s", r.Method, body)
}

// testClient is a connection to a testServer.
type testClient struct {
	net.Conn
	t      testing.TB
	reader *bufio.Reader
}

func (s *testServer) connect() *testClient {
	s.t.Helper()
	conn, err := net.Dial("tcp", s.address)
	if err != nil {
		s.t.Fatal(err)
	}
	_ = conn.SetDeadline(time.Now().Add(longWait))
	s.t.Cleanup(func() { _ = conn.Close() })
	return &testClient{Conn: conn, t: s.t, reader: bufio.NewReader(conn)}
}

func (c *testClient) send(parts ...string) {
	c.t.Helper()
	for _, part := range parts {
		if _, err := io.WriteString(c, part); err != nil {
			c.t.Fatal(err)
		}
	}
}

// expect reads a response.
func (c *testClient) expect(status int, body string) {
	c.t.Helper()
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.t.Fatal(err)
	}
	got, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != status || !strings.HasPrefix(string(got), body) {
		c.t.Fatalf("%s %q, %v; want %d %q", response.Status, got, err, status, body)
	}
}

// expectClosed waits until the server closes the connection without a further byte.
func (c *testClient) expectClosed() {
	c.t.Helper()
	if n, err := c.reader.Read(make([]byte, 1)); n != 0 || err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		c.t.Fatalf("%d bytes, %v; want a closed connection", n, err)
	}
}

// value returns the value of a counter or gauge.
func value(t testing.TB, collector prometheus.Collector) float64 {
	t.Helper()
	registry := prometheus.NewRegistry()
	registry.MustRegister(collector)
	families, err := registry.Gather()
	if err != nil || len(families) != 1 {
		t.Fatal(families, err)
	}
	metric := families[0].GetMetric()[0]
	return metric.GetCounter().GetValue() + metric.GetGauge().GetValue()
}

// expectRefused waits until a cause is counted.
func (s *testServer) expectRefused(cause Cause, want float64) {
	s.t.Helper()
	for end := time.Now().Add(longWait); ; time.Sleep(time.Millisecond) {
		got := value(s.t, s.guard.reporter.refused[cause])
		if got == want {
			return
		}
		if time.Now().After(end) {
			s.t.Fatalf("%v connections refused because of %s, want %v", got, cause, want)
		}
	}
}

const (
	get  = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	post = "POST / HTTP/1.1\r\nHost: h\r\n"
)

// Guards against requests that are read wrongly because parts were kept beyond the end of a head or a body: pipelined ones, with bodies in the
// segment of the head or later, sized and chunked.
func TestRequestsOnOneConnection(t *testing.T) {
	s := serve(t, testLimits(), nil, echo)
	c := s.connect()
	c.send(get+get+post+"Content-Length: 3\r\n\r\nabc"+post+"Transfer-Encoding: chunked\r\n\r\n2\r\nde\r\n0\r\n\r\n"+get+"P", post[1:]+"Content-Length: 2\r\n\r\nf")
	c.send("g")
	for _, want := range []string{"GET ", "GET ", "POST abc", "POST de", "GET ", "POST fg"} {
		c.expect(http.StatusOK, want)
	}
	large := strings.Repeat("0123456789", 30_000)
	c.send(post+fmt.Sprintf("Content-Length: %d\r\n\r\n", len(large))+large, get)
	c.expect(http.StatusOK, "POST "+large)
	c.expect(http.StatusOK, "GET ")
	c.send(post + "Transfer-Encoding: chunked\r\nExpect: 100-continue\r\n\r\n")
	if response, err := http.ReadResponse(c.reader, nil); err != nil || response.StatusCode != http.StatusContinue {
		t.Fatal(response, err)
	}
	c.send(fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(large), large))
	c.expect(http.StatusOK, "POST "+large)
}

// Guards against heads without limits of bytes and lines, on new and on kept connections.
func TestHeadIsTooLarge(t *testing.T) {
	for cause, lines := range map[Cause]string{
		CauseHeadSize: "X: " + strings.Repeat("x", 17<<10) + "\r\n", CauseHeadLines: strings.Repeat("a:\n", 1001),
	} {
		s := serve(t, testLimits(), nil, echo)
		c := s.connect()
		c.send(get)
		c.expect(http.StatusOK, "GET ")
		for i, c := range []*testClient{c, s.connect()} {
			c.send(get[:len(get)-2] + lines)
			c.expect(http.StatusRequestHeaderFieldsTooLarge, "")
			s.expectRefused(cause, float64(i+1))
		}
	}
}

// Guards against heads whose memory is not counted over all connections until their requests have ended, and small requests that are refused
// because of others.
func TestHeadMemoryOfAllConnections(t *testing.T) {
	limits := testLimits()
	limits.HeadMemory = 150_000 // of two heads
	release := make(chan struct{})
	s := serve(t, limits, nil, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			<-release
		}
	})
	head := post + strings.Repeat("a:\r\n", 350) + "Content-Length: 0\r\n\r\n"
	first, second, third := s.connect(), s.connect(), s.connect()
	first.send(head)
	second.send(head[:len(head)-2]) // not complete
	for end := time.Now().Add(longWait); s.guard.headMemory.Used() < 2*freeHeadLines*headLineCost*10; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d bytes are counted", s.guard.headMemory.Used())
		}
	}
	third.send(head)
	third.expectClosed()
	s.expectRefused(CauseHeadMemory, 1)
	fourth := s.connect()
	fourth.send(get)
	fourth.expect(http.StatusOK, "")
	close(release)
	first.expect(http.StatusOK, "")
	_ = second.Close()
	for end := time.Now().Add(longWait); s.guard.headMemory.Used() != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d bytes are counted after the requests have ended", s.guard.headMemory.Used())
		}
	}
}

// Guards against a pipelined head that escapes the count because it was received with the request before it.
func TestPipelinedHeadIsCounted(t *testing.T) {
	limits := testLimits()
	limits.HeadMemory = 50_000
	s := serve(t, limits, nil, echo)
	c := s.connect()
	c.send(get + get[:len(get)-2] + strings.Repeat("a:\n", 500))
	c.expect(http.StatusOK, "GET ")
	c.expectClosed()
	s.expectRefused(CauseHeadMemory, 1)
}

// Guards against a head that escapes the limits behind the empty lines that the server skips after a POST, and a connection that counts as one with
// a slow head because a client sends them.
func TestEmptyLinesBeforeHead(t *testing.T) {
	limits := testLimits()
	limits.HeadMemory, limits.HeadTimeout = 50_000, shortTimeout
	s := serve(t, limits, nil, echo)
	for _, lines := range []string{"\r\n", "\n\n\n", "\r\n\r\n"} {
		c := s.connect()
		c.send(post + "Content-Length: 1\r\n\r\nx" + lines[:2])
		c.expect(http.StatusOK, "POST x")
		time.Sleep(2 * shortTimeout) // idle
		c.send(lines[2:] + post + "Content-Length: 1\r\n\r\ny" + lines)
		c.expect(http.StatusOK, "POST y")
		c.send(get[:len(get)-2] + strings.Repeat("a:\n", 500))
		c.expectClosed()
	}
	s.expectRefused(CauseHeadMemory, 3)
}

// Guards against slow heads, first and later ones, that hold a connection, and kept connections that are closed because they are idle.
func TestSlowHead(t *testing.T) {
	limits := testLimits()
	limits.HeadTimeout = shortTimeout
	s := serve(t, limits, nil, echo)
	first := s.connect()
	first.send(get[:len(get)-2])
	first.expectClosed()
	s.expectRefused(CauseHeadTimeout, 1)
	later := s.connect()
	later.send(get)
	later.expect(http.StatusOK, "GET ")
	time.Sleep(2 * shortTimeout) // idle
	later.send(get)
	later.expect(http.StatusOK, "GET ")
	later.send(get[:1]) // fewer bytes than the server needs to begin its own timeout
	later.expectClosed()
	s.expectRefused(CauseHeadTimeout, 2)
	s.connect().expectClosed() // sends nothing
	s.expectRefused(CauseHeadTimeout, 3)
}

// Guards against slow bodies that hold a request, and a refusal that waits for the rest of the body.
func TestSlowBody(t *testing.T) {
	limits := testLimits()
	limits.BodyTimeout = shortTimeout
	s := serve(t, limits, nil, echo)
	for i, body := range []string{"Content-Length: 9\r\n\r\n", "Content-Length: 9\r\n\r\nabc", "Transfer-Encoding: chunked\r\n\r\n3\r\na"} {
		c := s.connect()
		c.send(post + body)
		c.expect(http.StatusRequestTimeout, "late")
		c.expectClosed()
		s.expectRefused(CauseBodyTimeout, float64(i+1))
	}
	steady := s.connect()
	steady.send(post + "Content-Length: 5\r\n\r\n")
	for range 5 {
		time.Sleep(shortTimeout / 2)
		steady.send("x")
	}
	steady.expect(http.StatusOK, "POST xxxxx")
}

// Guards against a body that is not read by the handler and then holds the connection, because the server waits for its end.
func TestSlowBodyThatNoHandlerReads(t *testing.T) {
	limits := testLimits()
	limits.BodyTimeout = shortTimeout
	s := serve(t, limits, nil, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusUnauthorized) })
	c := s.connect()
	c.send(post + "Content-Length: 9\r\n\r\nabc")
	c.expect(http.StatusUnauthorized, "")
	c.expectClosed()
}

// Guards against steady bodies that arrive after the deadline of their request.
func TestBodyAfterDeadline(t *testing.T) {
	s := serve(t, testLimits(), nil, func(w http.ResponseWriter, r *http.Request) {
		SetDeadline(r.Context(), time.Now().Add(2*shortTimeout))
		echo(w, r)
	})
	c := s.connect()
	c.send(post + "Content-Length: 1000\r\n\r\n")
	go func() {
		for range 100 {
			time.Sleep(shortTimeout / 4)
			if _, err := io.WriteString(c, "x"); err != nil {
				return
			}
		}
	}()
	c.expect(http.StatusRequestTimeout, "late")
}

// Guards against a long request that is cancelled because the timeouts of its head or body go on after they were complete.
func TestLongRequestIsNotCancelled(t *testing.T) {
	limits := testLimits()
	limits.BodyTimeout, limits.HeadTimeout = shortTimeout, shortTimeout
	s := serve(t, limits, nil, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		select {
		case <-r.Context().Done():
			http.Error(w, "cancelled", http.StatusInternalServerError)
		case <-time.After(3 * shortTimeout):
		}
	})
	for _, parts := range [][]string{
		{get}, {get[:5], get[5:]}, {post + "Content-Length: 2\r\n\r\nab"}, {post + "Content-Length: 2\r\n\r\n", "ab"},
		{post + "Transfer-Encoding: chunked\r\n\r\n", "2\r\nab\r\n0\r\n\r\n"},
	} {
		c := s.connect()
		for _, part := range parts {
			c.send(part)
			time.Sleep(10 * time.Millisecond)
		}
		c.expect(http.StatusOK, "")
		c.send(get)
		c.expect(http.StatusOK, "")
	}
}

// Guards against a request that goes on after its caller has disconnected.
func TestDisconnectIsNoticed(t *testing.T) {
	cancelled := make(chan struct{})
	s := serve(t, testLimits(), nil, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		close(cancelled)
	})
	c := s.connect()
	c.send(post + "Content-Length: 2\r\n\r\nab")
	_ = c.Close()
	select {
	case <-cancelled:
	case <-time.After(longWait):
		t.Fatal("the request goes on")
	}
}

// Guards against a client that does not read its answer and holds the connection and what the answer takes.
func TestAnswerThatIsNotRead(t *testing.T) {
	limits := testLimits()
	limits.WriteTimeout = shortTimeout
	failed := make(chan error, 1)
	s := serve(t, limits, nil, func(w http.ResponseWriter, _ *http.Request) {
		var err error
		for part := make([]byte, 1<<20); err == nil; {
			_, err = w.Write(part)
		}
		failed <- err
	})
	c := s.connect()
	c.send(get)
	select {
	case err := <-failed:
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Error(err)
		}
	case <-time.After(longWait):
		t.Fatal("the answer is still written")
	}
	s.expectRefused(CauseWriteTimeout, 1)
}

// Guards against a crowd that keeps others out: the newest connections without a head yield to new ones.
func TestCrowdYields(t *testing.T) {
	s := serve(t, testLimits(), nil, echo)
	kept := s.connect()
	kept.send(get)
	kept.expect(http.StatusOK, "GET ")
	crowd := make([]*testClient, 60)
	for i := range crowd {
		crowd[i] = s.connect()
	}
	s.expectRefused(CauseConnections, 41)
	if open := s.guard.table.count(); open != 20 {
		t.Errorf("%d open connections", open)
	}
	for end := time.Now().Add(longWait); value(t, s.guard.reporter.open) != 20; time.Sleep(time.Millisecond) { // those that yielded end
		if time.Now().After(end) {
			t.Fatalf("%v connections in the metric", value(t, s.guard.reporter.open))
		}
	}
	c := s.connect()
	c.send(get)
	c.expect(http.StatusOK, "GET ")
	kept.send(get)
	kept.expect(http.StatusOK, "GET ")
}

// Guards against a limit of one address that is not applied.
func TestConnectionsOfOneAddressOverNetwork(t *testing.T) {
	limits := testLimits()
	limits.MaxPerAddress = 2
	s := serve(t, limits, nil, echo)
	first, second := s.connect(), s.connect()
	s.connect().expectClosed()
	s.expectRefused(CauseSourceConnections, 1)
	for _, c := range []*testClient{first, second} {
		c.send(get)
		c.expect(http.StatusOK, "GET ")
	}
}

// testCertificate returns the configurations of a TLS server and a client that trusts it.
func testCertificate(t *testing.T) (server, client *tls.Config) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	roots := x509.NewCertPool()
	roots.AddCert(certificate)
	return &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}}},
		&tls.Config{MinVersion: tls.VersionTLS13, RootCAs: roots, ServerName: "127.0.0.1"}
}

// Guards against guarded TLS listeners that serve no one or do not apply the limits, and handshakes that never end or take memory without limit.
func TestTLS(t *testing.T) {
	limits := testLimits()
	limits.HeadTimeout = time.Second
	serverConfig, clientConfig := testCertificate(t)
	s := serve(t, limits, serverConfig, echo)
	connect := func() *testClient {
		c := s.connect()
		secure := tls.Client(c.Conn, clientConfig)
		return &testClient{Conn: secure, t: t, reader: bufio.NewReader(secure)}
	}
	c := connect()
	c.send(get, post+"Content-Length: 2\r\n\r\n", "ab")
	c.expect(http.StatusOK, "GET ")
	c.expect(http.StatusOK, "POST ab")
	c = connect()
	c.send(get[:len(get)-2] + strings.Repeat("a:\n", 1001))
	c.expect(http.StatusRequestHeaderFieldsTooLarge, "")
	s.expectRefused(CauseHeadLines, 1)
	idle := s.connect()
	idle.expectClosed()
	s.expectRefused(CauseHeadTimeout, 1)
	unfinished := s.connect()
	unfinished.send("\x16\x03\x01\x40\x00\x01\x00\xff\xff" + strings.Repeat("x", 100))
	unfinished.expectClosed()
	s.expectRefused(CauseHeadTimeout, 2)
	large := s.connect()
	for range 8 {
		if _, err := io.WriteString(large, "\x16\x03\x01\x10\x00\x01\x00\xff\xf0"+strings.Repeat("x", 4092)); err != nil {
			break
		}
	}
	s.expectRefused(CauseHeadSize, 1)
}

// Guards against a server whose planned stop waits for guarded connections that are idle, or loses requests that run.
func TestShutdown(t *testing.T) {
	began, release := make(chan struct{}), make(chan struct{})
	s := serve(t, testLimits(), nil, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			close(began)
			<-release
		}
		echo(w, r)
	})
	idle, busy := s.connect(), s.connect()
	idle.send(get)
	idle.expect(http.StatusOK, "GET ")
	busy.send(post + "Content-Length: 0\r\n\r\n")
	<-began
	stopped := make(chan error)
	go func() { stopped <- s.Shutdown(t.Context()) }()
	idle.expectClosed()
	close(release)
	busy.expect(http.StatusOK, "POST ")
	if err := <-stopped; err != nil {
		t.Error(err)
	}
	if open := value(t, s.guard.reporter.open); open != 0 {
		t.Errorf("%v open connections", open)
	}
}

// Guards against connections for sessions that never say who they are, and established ones that are closed.
func TestSessions(t *testing.T) {
	limits := testLimits()
	limits.HeadTimeout = shortTimeout
	guard := NewGuard(Options{Name: "peers", Limits: limits, Metrics: NewMetrics(prometheus.NewRegistry()), Logger: zap.NewNop()})
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := guard.Sessions(inner)
	defer func() { _ = listener.Close() }()
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				hello := make([]byte, 1)
				if _, err := io.ReadFull(c, hello); err != nil {
					return
				}
				if hello[0] == 'h' {
					c.(*conn).Established()
				}
				_, _ = io.Copy(c, c)
			}()
		}
	}()
	s := &testServer{t: t, guard: guard, address: inner.Addr().String()}
	peer, silent, noise := s.connect(), s.connect(), s.connect()
	peer.send("h")
	if _, err := noise.Write(make([]byte, 20<<10)); err != nil {
		t.Log(err) // closed before the end
	}
	s.expectRefused(CauseHeadSize, 1)
	silent.expectClosed()
	s.expectRefused(CauseHeadTimeout, 1)
	time.Sleep(2 * shortTimeout)
	text := strings.Repeat("0123456789", 10_000)
	go func() { _, _ = io.WriteString(peer, text) }()
	got := make([]byte, len(text))
	if _, err := io.ReadFull(peer, got); err != nil || string(got) != text {
		t.Errorf("%d bytes, %v", len(got), err)
	}
}

// BenchmarkRequest compares requests on a kept connection with and without limits.
func BenchmarkRequest(b *testing.B) {
	handler := func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Length", "2")
		_, _ = io.WriteString(w, "ok")
	}
	request := post + "User-Agent: benchmark\r\nAccept: */*\r\nContent-Length: 900\r\n\r\n" + strings.Repeat("x", 900)
	for _, guarded := range []bool{false, true} {
		b.Run(fmt.Sprintf("guarded=%v", guarded), func(b *testing.B) {
			var address string
			if guarded {
				address = serve(b, testLimits(), nil, handler).address
			} else {
				listener, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					b.Fatal(err)
				}
				server := &http.Server{Handler: http.HandlerFunc(handler), ReadHeaderTimeout: longWait, IdleTimeout: longWait}
				go func() { _ = server.Serve(listener) }()
				b.Cleanup(func() { _ = server.Close() })
				address = listener.Addr().String()
			}
			c, err := net.Dial("tcp", address)
			if err != nil {
				b.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			answer := make([]byte, 4096)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := io.WriteString(c, request); err != nil {
					b.Fatal(err)
				}
				if _, err := c.Read(answer); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// Guards against a log that clients flood, here with requests for which the handler panics, and against failures that nothing counts.
func TestServerErrorsAreBounded(t *testing.T) {
	const clients = 20
	core, logs := observer.New(zap.InfoLevel)
	s := serve(t, testLimits(), nil, func(http.ResponseWriter, *http.Request) { panic("fault of the handler") })
	s.guard.reporter.logger = zap.New(core)
	for range clients {
		c := s.connect()
		c.send(get)
		_, _ = io.Copy(io.Discard, c.Conn)
	}
	if lines := logs.Len(); lines == 0 || lines > clients/2 {
		t.Errorf("%d log lines of %d failures", lines, clients)
	}
	if counted := value(t, s.guard.reporter.refused[CauseServerError]); counted != clients {
		t.Errorf("%v of %d failures were counted", counted, clients)
	}
}

// Guards against more requests at a time than the limit, against a refusal without Retry-After, against requests that count after their end, and against
// a client whose pipelined requests are each read and refused.
func TestRequestsBeyondLimitAreRefused(t *testing.T) {
	limits := testLimits()
	limits.MaxRequests = 2
	release := make(chan struct{})
	s := serve(t, limits, nil, func(http.ResponseWriter, *http.Request) { <-release })
	status := func(c *testClient) (string, string) {
		c.send(get)
		response, err := http.ReadResponse(bufio.NewReader(c.Conn), nil)
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		return response.Status, response.Header.Get("Retry-After")
	}
	var running sync.WaitGroup
	for range limits.MaxRequests {
		c := s.connect()
		running.Go(func() {
			if got, _ := status(c); got != "200 OK" {
				t.Errorf("within the limit: %s", got)
			}
		})
	}
	for deadline := time.Now().Add(longWait); s.guard.requests.Load() < int64(limits.MaxRequests) && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	if got, retryAfter := status(s.connect()); got != "503 Service Unavailable" || retryAfter == "" {
		t.Errorf("beyond the limit: %s, Retry-After %q", got, retryAfter)
	}
	pipelined := s.connect()
	pipelined.send(get + get)
	if text, _ := io.ReadAll(pipelined.Conn); strings.Count(string(text), "503 Service Unavailable") != 1 { // ends with a reset if bytes are left
		t.Errorf("pipelined requests beyond the limit: %q, want one answer", text)
	}
	close(release)
	running.Wait()
	if got, _ := status(s.connect()); got != "200 OK" {
		t.Errorf("after the end of the others: %s", got)
	}
}
