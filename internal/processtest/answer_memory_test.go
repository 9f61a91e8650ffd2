package processtest

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/fulmardoor/fulmardoor/internal/kv/memory"
	"github.com/fulmardoor/fulmardoor/platform/platformtest"
)

// routerMemoryMB is the memory of the smallest machine for routers in the users' deployments.
const routerMemoryMB = 134

// peakMemoryMB returns the most memory that the process had since it started, in MB.
func (p *process) peakMemoryMB() int {
	p.t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		p.t.Fatalf("%s has ended: %v", p.name, err)
	}
	for line := range strings.Lines(string(status)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kilobytes, _ := strconv.Atoi(strings.Fields(value)[0])
			return kilobytes / 1000
		}
	}
	p.t.Fatal("no peak memory in the status of the process")
	return 0
}

// gathering makes the requests of a test wait until a number of them has arrived, or for two seconds.
type gathering struct {
	mu      sync.Mutex
	missing int
	all     chan struct{}
}

func newGathering(count int) *gathering { return &gathering{missing: count, all: make(chan struct{})} }

func (g *gathering) wait() {
	g.mu.Lock()
	if g.missing--; g.missing == 0 {
		close(g.all)
	}
	g.mu.Unlock()
	select {
	case <-g.all:
	case <-time.After(2 * time.Second):
	}
}

// badAnswer is what faulty runners send.
type badAnswer struct {
	// kind is that of the requests, and head what follows the status and the headers that sign the answer.
	name, kind, status, head string
	// line is sent repeatedly up to size bytes; then the runner waits.
	line string
	size int
}

// endless is more than any process can keep.
const endless = 1 << 30

// distinctHeaders returns header lines with names that differ, six bytes each.
func distinctHeaders(count int) string {
	var lines strings.Builder
	for i := range count {
		fmt.Fprintf(&lines, "%x:\n", 0xa000+i)
	}
	return lines.String()
}

var (
	manyBytes  = strings.Repeat("x", 16000)
	badAnswers = []badAnswer{
		{"event without end", "note", "200 OK", "\r\n", "data: " + manyBytes, endless},
		{"event of nearly the permitted size", "note", "200 OK", "\r\n", "data: " + manyBytes, 1_000_000},
		{"header lines without end", "book", "200 OK", "", distinctHeaders(16000), endless},
		{"header lines of nearly the permitted size", "book", "200 OK", "", distinctHeaders(10_000), 1},
		{"header line without end", "book", "200 OK", "X: ", manyBytes, endless},
		{"body without end", "book", "200 OK", "\r\n", manyBytes, endless},
		{"body of nearly the buffered size", "book", "200 OK", "\r\n", manyBytes, 256_000},
		{"error body", "note", "500 Internal Server Error", "\r\n", manyBytes, 256_000},
	}
)

func (a *badAnswer) send(r *platformtest.RawRunner, c net.Conn, in *http.Request) {
	sendUntilClosed(c, r.ResponseHead(in, a.status)+a.head, a.line, a.size)
}

// Guards against a router that runs out of memory, and ends with the requests of all callers, because faulty runners send many requests
// at once bytes that are no answer, each within the limit of one answer.
func TestRouterMemoryUnderBadAnswers(t *testing.T) {
	const callers = 400
	for _, bad := range badAnswers {
		t.Run(bad.name, func(t *testing.T) {
			t.Parallel()
			store := memory.New(memory.Options{})
			store.Put("op/config", []byte(platformtest.StopConfig))
			together := newGathering(callers)
			for i := range 4 {
				respond := func(r *platformtest.RawRunner, c net.Conn, in *http.Request, _ int64) {
					together.wait()
					bad.send(r, c, in)
				}
				engine := platformtest.NewRawRunner(t, fmt.Sprintf("i-engine-%d", i), "decode", respond)
				service := platformtest.NewRawRunner(t, fmt.Sprintf("i-service-%d", i), "", respond)
				store.Put("servers/"+engine.ID, platformtest.Entry{Service: "llm", Address: engine.Address, Zone: "here", Stage: "decode", Slots: 64}.Text())
				store.Put("servers/"+service.ID, platformtest.Entry{Service: "shop", Address: service.Address, Zone: "here", Slots: 6}.Text())
			}
			r := &stoppingRouter{t: t, soakRouter: startRouterWith(t, store, platformtest.RouterSettings{Name: "router-1", StopGraceS: 8, MemoryMB: routerMemoryMB})}
			before := r.process.peakMemoryMB()
			var running sync.WaitGroup
			for range callers {
				running.Go(func() { r.send(newConnection(), bad.kind, "usual") })
			}
			running.Wait()
			peak := r.process.peakMemoryMB()
			t.Logf("%d MB before, %d MB at most", before, peak)
			if peak > routerMemoryMB {
				t.Errorf("the router had %d MB, its machine has %d", peak, routerMemoryMB)
			}
		})
	}
}
