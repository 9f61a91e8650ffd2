package processtest

import (
	"bytes"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/fulmardoor/fulmardoor/platform/platformtest"
)

// relayDialTimeout is longer than a machine that is short of processor time delays a connection. After it the relay closes the other side, which is a fault
// that no test asked for.
const relayDialTimeout = 5 * time.Second

// relay forwards TCP connections to a target and can inject faults: open connections can be reset or made to deliver nothing
// while new ones work, and answers can be delayed or dropped.
type relay struct {
	address string

	mu          sync.Mutex // guards the fields below
	target      string     // empty to reset new connections
	connections map[*relayedConnection]struct{}
	// dropAnswersTrigger, if not empty, sets answersDropped once a request that contains all its strings is forwarded.
	dropAnswersTrigger []string
	// recordedRequests is the data that was forwarded to the target while recording was set.
	recordedRequests bytes.Buffer
	recording        bool
	// answersDropped makes the relay drop all data from the target, on new connections too.
	answersDropped bool
	// delay is added before each write, in both directions; tailDelay is added before the last bytes of each write.
	delay, tailDelay time.Duration
}

// delayedTailBytes is the number of bytes that wait for tailDelay. They belong to the body of any response of a stand-in.
const delayedTailBytes = 10

// relayedConnection is one connection through a relay.
type relayedConnection struct {
	in, out net.Conn
	// blackholed is closed when the connection is to deliver nothing any more; both sides stay open.
	blackholed    chan struct{}
	blackholeOnce sync.Once
}

var relays sync.Map // address to *relay

// relayAt returns the relay that listens on an address.
func relayAt(t testing.TB, address string) *relay {
	value, ok := relays.Load(address)
	if !ok {
		t.Fatalf("no relay at %s", address)
	}
	return value.(*relay)
}

func startRelay(t testing.TB, target string) *relay {
	t.Helper()
	listener, err := net.Listen("tcp", freeAddress(t))
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{address: listener.Addr().String(), target: target, connections: make(map[*relayedConnection]struct{})}
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
		go r.forward(in)
	}
}

func (r *relay) forward(in net.Conn) {
	target := r.currentTarget()
	if target == "" {
		platformtest.ResetConn(in)
		return
	}
	out, err := net.DialTimeout("tcp", target, relayDialTimeout)
	if err != nil {
		_ = in.Close()
		return
	}
	rc := &relayedConnection{in: in, out: out, blackholed: make(chan struct{})}
	r.mu.Lock()
	r.connections[rc] = struct{}{}
	r.mu.Unlock()
	var copying sync.WaitGroup
	copying.Go(func() { rc.copy(in, out, r.inspectRequest, nil, r.write) })
	copying.Go(func() { rc.copy(out, in, nil, r.dropsAnswers, r.write) })
	copying.Wait()
	r.mu.Lock()
	delete(r.connections, rc)
	r.mu.Unlock()
}

// copy forwards data until one side closes. Once the connection is blackholed it drops all data and does not forward a close,
// so that the other side sees neither. beforeWrite, if not nil, receives data before it is written.
func (rc *relayedConnection) copy(from, to net.Conn, beforeWrite func([]byte), drop func() bool, write func(net.Conn, []byte) error) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		select {
		case <-rc.blackholed:
			if err != nil {
				return
			}
			continue
		default:
		}
		if n > 0 && (drop == nil || !drop()) {
			if beforeWrite != nil {
				beforeWrite(buffer[:n])
			}
			if writeErr := write(to, buffer[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if err != nil {
			rc.close()
			return
		}
	}
}

// dropAnswersAfter makes the relay drop all answers from the next request on that contains all texts, until clearFaults. The
// request itself is forwarded.
func (r *relay) dropAnswersAfter(texts ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropAnswersTrigger = texts
}

// inspectRequest records data for the target and checks it for the trigger. It is called before the data is written, so that
// the answer to a request that triggers the drop is dropped too.
func (r *relay) inspectRequest(data []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.recording {
		r.recordedRequests.Write(data)
	}
	missing := func(text string) bool { return !bytes.Contains(data, []byte(text)) }
	if len(r.dropAnswersTrigger) > 0 && !slices.ContainsFunc(r.dropAnswersTrigger, missing) {
		r.answersDropped = true
	}
}

// startRecording records the data that is forwarded to the target from now on.
func (r *relay) startRecording() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recording = true
}

// recorded returns the data that was forwarded to the target since startRecording.
func (r *relay) recorded() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	return bytes.Clone(r.recordedRequests.Bytes())
}

func (r *relay) dropsAnswers() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.answersDropped
}

// write writes data after the current delays.
func (r *relay) write(to net.Conn, data []byte) error {
	r.mu.Lock()
	delay, tailDelay := r.delay, r.tailDelay
	r.mu.Unlock()
	time.Sleep(delay)
	if tailDelay > 0 && len(data) > delayedTailBytes {
		tail := len(data) - delayedTailBytes
		if _, err := to.Write(data[:tail]); err != nil {
			return err
		}
		time.Sleep(tailDelay)
		data = data[tail:]
	}
	_, err := to.Write(data)
	return err
}

func (r *relay) setDelay(delay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = delay
}

func (r *relay) setTailDelay(delay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tailDelay = delay
}

// dropAnswers drops all answers from now on, until clearFaults.
func (r *relay) dropAnswers() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answersDropped = true
}

// clearFaults ends delays and drops, and resets the open connections, whose answers may be incomplete.
func (r *relay) clearFaults() {
	r.mu.Lock()
	r.answersDropped, r.dropAnswersTrigger, r.delay, r.tailDelay = false, nil, 0, 0
	r.mu.Unlock()
	r.reset()
}

func (r *relay) currentTarget() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.target
}

// setTarget makes the relay forward new connections to another target; it resets them if the target is empty.
func (r *relay) setTarget(target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target = target
}

func (rc *relayedConnection) close() {
	_ = rc.in.Close()
	_ = rc.out.Close()
}

// forEachConnection calls f for the open connections and returns their number.
func (r *relay) forEachConnection(f func(*relayedConnection)) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for rc := range r.connections {
		f(rc)
	}
	return len(r.connections)
}

// blackhole makes the open connections deliver nothing any more and returns their number. New connections work.
func (r *relay) blackhole() int {
	return r.forEachConnection(func(rc *relayedConnection) { rc.blackholeOnce.Do(func() { close(rc.blackholed) }) })
}

// reset closes the open connections with a TCP reset.
func (r *relay) reset() {
	r.forEachConnection(func(rc *relayedConnection) {
		for _, c := range []net.Conn{rc.in, rc.out} {
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
		}
		rc.close()
	})
}
