package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// plainRunner is a runner of a plain service. It is sound: it runs slots requests at a time, lets queue more wait, and rejects others.
type plainRunner struct {
	id, address, zone string
	record            *recorder
	work              time.Duration
	slots, queue      int
	server            *http.Server
	// arrived is called with each request that reaches the runner.
	arrived func(runner *plainRunner, id string, at time.Time)

	places chan struct{}
	mu     sync.Mutex // guards held
	held   int
}

func startPlainRunner(r *plainRunner, host string) error {
	listener, err := net.Listen("tcp", host+":0")
	if err != nil {
		return err
	}
	r.address, r.places = listener.Addr().String(), make(chan struct{}, r.slots)
	r.server = &http.Server{Handler: r, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = r.server.Serve(listener) }()
	return nil
}

// entry is what the runner writes into the store about itself.
func (r *plainRunner) entry(service, state string) map[string]any {
	return map[string]any{"service": service, "address": r.address, "zone": r.zone, "version": "v1", "slots": r.slots, "state": state, "cold_left_ms": 0, "seq": 1}
}

func (r *plainRunner) enter() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.held >= r.slots+r.queue {
		return false
	}
	r.held++
	return true
}

func (r *plainRunner) leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.held--
}

// ServeHTTP implements http.Handler.
func (r *plainRunner) ServeHTTP(w http.ResponseWriter, in *http.Request) {
	id := in.Header.Get("Fulmardoor-Request-Id")
	w.Header().Set("Fulmardoor-Request-Id", id)
	if in.Header.Get("Fulmardoor-Expect-Instance") != r.id {
		w.Header().Set("Fulmardoor-Instance", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.arrived(r, id, time.Now())
	if !r.enter() {
		r.record.note("%s answers 503 to %s and doesn't run it (full)", r.id, id)
		w.Header().Set("Fulmardoor-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer r.leave()
	select {
	case r.places <- struct{}{}:
	case <-in.Context().Done():
		return
	}
	defer func() { <-r.places }()
	r.record.note("%s runs %s", r.id, id)
	select {
	case <-time.After(r.work):
	case <-in.Context().Done():
		r.record.note("%s drops %s: its connection was closed", r.id, id)
		return
	}
	body := "booked " + id
	w.Header().Set("Fulmardoor-Response-Stamp", r.id+"."+id)
	w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	_, _ = w.Write([]byte(body))
}
