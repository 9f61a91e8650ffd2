package lab

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Run is one request that a runner ran.
type Run struct {
	At                 time.Time
	ID, Runner, Tenant string
	Method, Target     string
}

// Runner is a runner of a plain service.
type Runner struct {
	ID, Service, Address, Zone string
	Work                       time.Duration
	// Slots limits the requests that run at the same time; the others wait. Zero is no limit.
	Slots  int
	slots  chan struct{}
	mu     sync.Mutex
	runs   []Run
	server *http.Server
}

// StartRunner starts a runner that answers each request after work.
func StartRunner(id, service, zone string, work time.Duration) (*Runner, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Runner{ID: id, Service: service, Address: l.Addr().String(), Zone: zone, Work: work}
	r.server = &http.Server{Handler: r, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = r.server.Serve(l) }()
	return r, nil
}

// SetSlots limits the requests that run at the same time. It must be called before the first request.
func (r *Runner) SetSlots(slots int) { r.Slots, r.slots = slots, make(chan struct{}, slots) }

// Entry returns what the runner writes into the store about itself.
func (r *Runner) Entry(state string) map[string]any {
	slots := 64
	if r.Slots > 0 {
		slots = r.Slots
	}
	return map[string]any{"service": r.Service, "address": r.Address, "zone": r.Zone, "version": "v1", "slots": slots, "state": state,
		"cold_left_ms": 0, "seq": 1, "born": 1700000000000}
}

// Runs returns the requests that the runner ran so far.
func (r *Runner) Runs() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Run(nil), r.runs...)
}

// Stop ends the runner.
func (r *Runner) Stop() { _ = r.server.Close() }

// ServeHTTP implements http.Handler.
func (r *Runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	_, _ = io.Copy(io.Discard, req.Body)
	id := req.Header.Get("Fulmardoor-Request-Id")
	if req.URL.Path == "/healthz" {
		w.Header().Set("Fulmardoor-Instance", r.ID)
		return
	}
	if want := req.Header.Get("Fulmardoor-Expect-Instance"); want != "" && want != r.ID {
		w.Header().Set("Fulmardoor-Instance", r.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.slots != nil {
		r.slots <- struct{}{}
		defer func() { <-r.slots }()
	}
	r.mu.Lock()
	r.runs = append(r.runs, Run{time.Now(), id, r.ID, req.Header.Get("Fulmardoor-Tenant"), req.Method, req.RequestURI})
	r.mu.Unlock()
	time.Sleep(r.Work)
	w.Header().Set("Fulmardoor-Request-Id", id)
	w.Header().Set("Fulmardoor-Response-Stamp", r.ID+"."+id)
	body := fmt.Sprintf("%s ran %s\n%s", r.ID, id, strings.Repeat("x", 100))
	_, _ = io.WriteString(w, body)
}
