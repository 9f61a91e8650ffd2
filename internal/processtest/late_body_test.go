package processtest

import (
	"bufio"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/fulmardoor/fulmardoor/internal/kv/memory"
	"github.com/fulmardoor/fulmardoor/platform/platformtest"
)

// checkLateBody checks that a request whose body does not arrive is refused with a promise that it did not run.
func checkLateBody(t *testing.T, l *crowdListener) {
	t.Helper()
	l.waitOrdinary(t)
	for _, part := range []string{"", "x"} {
		conn, err := net.Dial("tcp", l.address)
		if err != nil {
			t.Fatal(err)
		}
		_ = conn.SetDeadline(time.Now().Add(crowdTimeout))
		if _, err := conn.Write([]byte(l.head() + announceBody() + part)); err != nil {
			t.Fatal(err)
		}
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatal(err)
		}
		body := readAll(response)
		if response.StatusCode != http.StatusRequestTimeout || !strings.Contains(body, "request_timeout") || !strings.Contains(body, "not run") {
			t.Errorf("%s %q", response.Status, body)
		}
		_ = conn.Close()
	}
}

// Guards against a router that waits for a body without end, or whose refusal leaves open whether the request ran.
func TestRouterRefusesLateBody(t *testing.T) {
	checkLateBody(t, startCrowdRouter(t, 0).callers())
}

// Guards against the same at an entry.
func TestEntryRefusesLateBody(t *testing.T) {
	d := deployForCrowds(t, 1, 0)
	checkLateBody(t, d.callers(t, d.entries[0]))
}

// Guards against a router that starts with limits that its host cannot hold, and an error from which an operator cannot tell the setting.
func TestRouterDoesNotStartWithImpossibleLimits(t *testing.T) {
	c, r := configureRouter(t, memory.New(memory.Options{}), platformtest.RouterSettings{Name: "router-1", StopGraceS: 8, MemoryMB: crowdRouterMemoryMB})
	p := startProcess(t, c.dir, r.name, "fulmardoor-router", "run", "--settings", r.settingsFile, "--peer-max-connections", "1000000")
	checkStartError(t, p, "--peer-max-connections is 1000000")
}

// checkStartError checks that a process ends at its start with an error that has a text.
func checkStartError(t *testing.T, p *process, want string) {
	t.Helper()
	if status := p.waitExit(); status == 0 || !strings.Contains(p.output(), want) {
		t.Errorf("status %d, want an error that has %q: %s", status, want, p.output())
	}
}

// Guards against the same of an entry.
func TestEntryDoesNotStartWithImpossibleLimits(t *testing.T) {
	d := newDeployment(t)
	d.startPlatform()
	e := d.writeEntrySettings(0, 1)
	text, err := os.ReadFile(e.settingsFile)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(e.settingsFile, append(text, "\n[caller_limits]\nhead_memory_bytes = 1000000000000\n"...), 0o600); err != nil {
		t.Fatal(err)
	}
	p := startProcess(t, d.dir, e.name, "fulmardoor-entry", "run", "--config", e.settingsFile)
	checkStartError(t, p, "[caller_limits] head_memory_bytes is 1000000000000")
}
