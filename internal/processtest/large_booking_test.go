package processtest

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fulmardoor/fulmardoor/internal/admin"
)

// startInProcess starts an upstream that the test serves, and its sidecar.
func (d *deployment) startInProcess(name, pool, role string, places int, handler http.HandlerFunc) {
	d.t.Helper()
	u := d.writeSidecarSettings(name, pool, role, places, false)
	listener, err := net.Listen("tcp", u.address)
	if err != nil {
		d.t.Fatal(err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: waitTimeout}
	go func() { _ = server.Serve(listener) }()
	d.t.Cleanup(func() { _ = server.Close() })
	d.startSidecar(u)
}

// waitConnected waits until the entry is connected to all sidecars.
func (d *deployment) waitConnected() {
	d.t.Helper()
	d.waitUpstreams(d.entries[0], func(u admin.UpstreamStatus) bool { return u.Connected })
}

// Guards against a repeated booking that gets no answer, or runs again, because the answer of the first attempt was too large to be kept.
func TestRepeatOfBookingWithLargeAnswer(t *testing.T) {
	t.Parallel()
	var runs atomic.Int64
	d := newDeployment(t)
	d.startPlatform()
	d.startInProcess("ledger-0", "ledger", "service", 20, func(w http.ResponseWriter, r *http.Request) {
		size, _ := strconv.Atoi(r.Header.Get("X-Booking-Id"))
		if r.Method == http.MethodPost {
			runs.Add(1)
		}
		w.Header().Set("Content-Length", strconv.Itoa(size))
		_, _ = io.WriteString(w, strings.Repeat("x", size))
	})
	d.startEntry(d.writeEntrySettings(0, 1))
	d.waitHealthy()
	d.mustApply(d.documentText(nil))
	d.waitReady()
	for _, c := range []struct {
		size             int
		wantRepeatStatus int
	}{{800, http.StatusOK}, {200_000, http.StatusOK}, {2_000_000, http.StatusOK}, {6_000_000, http.StatusConflict}} {
		book := func() answer {
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			header := http.Header{"Idempotency-Key": {fmt.Sprint("key-", c.size)}}
			return bookWithHeader(ctx, d.entries[0].callerURL(), d.keys[0], fmt.Sprint(c.size), header)
		}
		before := runs.Load()
		first, repeat := book(), book()
		if !first.whole || len(first.text) != c.size || repeat.status != c.wantRepeatStatus || repeat.whole && repeat.text != first.text || runs.Load() != before+1 {
			t.Errorf("%d bytes: first %d bytes, whole %v; repeat %v; %d runs", c.size, len(first.text), first.whole, repeat, runs.Load()-before)
		}
	}
}
