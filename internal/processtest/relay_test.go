package processtest

import (
	"bytes"
	"net"
	"slices"
	"sync"
	"testing"
	"time"
)

// relay passes TCP connections on to a target. Connections can be made to go silent or be reset, while new ones work.
type relay struct {
	address string
	target  string

	mu    sync.Mutex // guards the fields below
	links map[*link]struct{}
	// trigger makes the relay deaf once it has passed on a request that contains all of it.
	trigger []string
	// requests is everything that was passed on to the target, if record is set.
	requests bytes.Buffer
	record   bool
	// deaf drops all answers, also on new connections.
	deaf bool
	// delay holds up everything that is passed on.
	delay time.Duration
}

// link is one connection through a relay.
type link struct {
	in, out net.Conn
	// silent is closed when nothing is delivered any more; both sides stay open.
	silent chan struct{}
	once   sync.Once
}

var relays sync.Map // address to *relay

// relayAt returns the relay that listens on an address.
func relayAt(t testing.TB, address string) *relay {
	found, ok := relays.Load(address)
	if !ok {
		t.Fatalf("no relay at %s", address)
	}
	return found.(*relay)
}

func startRelay(t testing.TB, target string) *relay {
	t.Helper()
	listener, err := net.Listen("tcp", freeAddress(t))
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{address: listener.Addr().String(), target: target, links: make(map[*link]struct{})}
	relays.Store(r.address, r)
	go r.accept(listener)
	t.Cleanup(func() {
		_ = listener.Close()
		r.reset()
	})
	return r
}

func (r *relay) accept(listener net.Listener) {
	for {
		in, err := listener.Accept()
		if err != nil {
			return
		}
		go r.pass(in)
	}
}

func (r *relay) pass(in net.Conn) {
	out, err := net.DialTimeout("tcp", r.target, time.Second)
	if err != nil {
		_ = in.Close()
		return
	}
	l := &link{in: in, out: out, silent: make(chan struct{})}
	r.mu.Lock()
	r.links[l] = struct{}{}
	r.mu.Unlock()
	var copying sync.WaitGroup
	copying.Go(func() { l.copy(in, out, r.requestPassed, nil, r.pause) })
	copying.Go(func() { l.copy(out, in, nil, r.isDeaf, r.pause) })
	copying.Wait()
	r.mu.Lock()
	delete(r.links, l)
	r.mu.Unlock()
}

// copy delivers bytes until an end closes. Once the link is silent it reads and drops everything, the end of the
// connection included, so that the other side sees neither data nor a close.
func (l *link) copy(from, to net.Conn, passed func([]byte), drop func() bool, pause func() time.Duration) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		select {
		case <-l.silent:
			if err != nil {
				return
			}
			continue
		default:
		}
		if n > 0 && (drop == nil || !drop()) {
			if passed != nil {
				passed(buffer[:n])
			}
			time.Sleep(pause())
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if err != nil {
			l.close()
			return
		}
	}
}

// loseAnswersFrom makes the relay pass on the next request that contains all texts, and no answer from then on until heal.
func (r *relay) loseAnswersFrom(texts ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.trigger = texts
}

// requestPassed is called before a request is passed on, so that its answer cannot overtake the change.
func (r *relay) requestPassed(data []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.record {
		r.requests.Write(data)
	}
	missing := func(text string) bool { return !bytes.Contains(data, []byte(text)) }
	if len(r.trigger) > 0 && !slices.ContainsFunc(r.trigger, missing) {
		r.deaf = true
	}
}

// startRecording keeps what is passed on to the target from now on.
func (r *relay) startRecording() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record = true
}

// recorded returns what was passed on to the target.
func (r *relay) recorded() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	return bytes.Clone(r.requests.Bytes())
}

func (r *relay) isDeaf() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.deaf
}

func (r *relay) pause() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.delay
}

// slow holds up everything from now on.
func (r *relay) slow(delay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = delay
}

// deafen drops all answers from now on.
func (r *relay) deafen() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.deaf = true
}

// heal breaks the open connections, whose answers are incomplete, and passes everything on again.
func (r *relay) heal() {
	r.mu.Lock()
	r.deaf, r.trigger, r.delay = false, nil, 0
	r.mu.Unlock()
	r.reset()
}

func (l *link) close() {
	_ = l.in.Close()
	_ = l.out.Close()
}

// each calls f for the open connections and returns their number.
func (r *relay) each(f func(*link)) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for l := range r.links {
		f(l)
	}
	return len(r.links)
}

// silence makes the open connections deliver nothing any more; new ones work. It returns their number.
func (r *relay) silence() int {
	return r.each(func(l *link) { l.once.Do(func() { close(l.silent) }) })
}

// reset breaks the open connections.
func (r *relay) reset() {
	r.each(func(l *link) {
		for _, c := range []net.Conn{l.in, l.out} {
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
		}
		l.close()
	})
}
