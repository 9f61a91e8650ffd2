package processtest

import (
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/fulmardoor/fulmardoor/internal/kv/memory"
	"github.com/fulmardoor/fulmardoor/platform/platformtest"
)

// configApplyTime is the time within which a change of the configuration must be in force, and peerTime that in which routers connect to each other.
const (
	configApplyTime = 2 * time.Second
	peerTime        = 5 * time.Second
)

// book sends a booking with a request id and returns the status of the answer.
func (r *soakRouter) book(t *testing.T, path, id string) (int, error) {
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+r.callerAddress+path, strings.NewReader("x"))
	if err != nil {
		return 0, err
	}
	request.Host = "h.example"
	platformtest.SetCallerHeaders(request.Header, id, "key-usual", 1400, false)
	response, err := newConnection().RoundTrip(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// statusOf returns the status of the answer to a booking.
func (r *soakRouter) statusOf(t *testing.T, path string) int {
	t.Helper()
	status, err := r.book(t, path, "00000000000000a1")
	if err != nil {
		t.Fatal(err)
	}
	return status
}

// Guards against a router that serves an older configuration than its peers, because it started after the store went back to a copy and before the newer one
// was written again.
func TestRouterStartsOnOlderCopyOfTheStore(t *testing.T) {
	t.Parallel()
	service := platformtest.NewRunner(t, "i-service", "")
	store := memory.New(memory.Options{})
	store.Put("op/config", []byte(platformtest.StopConfig))
	store.Put("servers/"+service.ID, platformtest.Entry{Service: "shop", Address: service.Address, Zone: "here", Slots: 6}.Text())
	c := store.Copy()
	newer := strings.NewReplacer(`"version":1`, `"version":2`, `"/book/"`, `"/order/"`).Replace(platformtest.StopConfig)
	store.Put("op/config", []byte(newer))
	first := startNamedRouter(t, "router-1", store, routerStopGrace)
	eventually(t, "the first router serves the new route", func() string {
		if status := first.statusOf(t, "/order/x"); status != http.StatusOK {
			return http.StatusText(status)
		}
		return ""
	})
	store.Restore(c)
	second := startNamedRouter(t, "router-2", store, routerStopGrace)
	status := 0
	for deadline := time.Now().Add(peerTime + configApplyTime); status != http.StatusOK && time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		status = second.statusOf(t, "/order/x")
	}
	if status != http.StatusOK {
		t.Errorf("the new route at the second router: status %d", status)
	}
	if status := second.statusOf(t, "/book/x"); status != http.StatusNotFound {
		t.Errorf("the removed route at the second router: status %d, want 404", status)
	}
}

// Guards against a router that says that it is ready although it knows no upstream: it started while the store was away, and got the configuration of another
// process.
func TestRouterThatStartsWithoutTheStoreIsNotReady(t *testing.T) {
	t.Parallel()
	c := newSoakCluster(t)
	c.waitReady()
	time.Sleep(peerTime) // until they are connected
	c.store.SetFaults(memory.Faults{Down: true})
	restarted := c.routers[0]
	restarted.restart(c, syscall.SIGKILL, 0)
	for deadline := time.Now().Add(peerTime); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		if restarted.isReady() {
			t.Fatal("ready without the store")
		}
	}
}
