// Package service is a stand-in for a plain HTTP service. It offers bookings, which must not run twice, and stock
// lookups, which may be repeated.
package service

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"
)

// HeaderBookingID is the request header with the ID of a booking.
const HeaderBookingID = "X-Booking-Id"

// maxBody is the maximum size of a request body, in bytes.
const maxBody = 16 << 20

// Faults is the set of faults injected into bookings and stock lookups. The zero value injects none.
type Faults struct {
	// DelayMS delays each response, in milliseconds.
	DelayMS int `json:"delay_ms"`
	// StallBefore stops a request before its booking takes effect; no response is sent.
	StallBefore bool `json:"stall_before"`
	// StallAfter stops a request after its booking has taken effect; no response is sent.
	StallAfter bool `json:"stall_after"`
	// DropBefore closes the connection before the booking takes effect.
	DropBefore bool `json:"drop_before"`
	// DropAfter closes the connection after the booking has taken effect.
	DropAfter bool `json:"drop_after"`
	// Count is the number of requests after which the faults end. Zero means that they apply until they are replaced.
	Count int `json:"count"`
}

// Audit reports the requests that the service has processed.
type Audit struct {
	// Bookings maps the ID of each booking to the number of times that it took effect.
	Bookings map[string]int `json:"bookings"`
	// DoubleRuns lists bookings that took effect more than once.
	DoubleRuns []string `json:"double_runs"`
	Lookups    int      `json:"lookups"`
	Running    int      `json:"running"`
	// AuthorizationHeaders counts requests with an Authorization header, which would expose a caller's key. The headers
	// themselves are not stored.
	AuthorizationHeaders int `json:"authorization_headers"`
}

// Service simulates a plain HTTP service. It is safe for concurrent use.
type Service struct {
	// latency is the time that each call takes.
	latency time.Duration
	// stopping is cancelled by Stop and ends stalled requests.
	stopping context.Context
	stop     context.CancelFunc

	mu     sync.Mutex
	faults Faults
	audit  Audit
}

// New returns a service whose calls take the given time.
func New(latency time.Duration) *Service {
	s := &Service{latency: latency, audit: Audit{Bookings: make(map[string]int)}}
	s.stopping, s.stop = context.WithCancel(context.Background())
	return s
}

// Stop ends the requests that are stalled by an injected fault.
func (s *Service) Stop() {
	s.stop()
}

// Handler returns the HTTP handler of the service.
func (s *Service) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/bookings", s.booking).Methods(http.MethodPost)
	r.PathPrefix("/stock/").HandlerFunc(s.stock).Methods(http.MethodGet, http.MethodHead)
	r.HandleFunc("/audit", s.serveAudit).Methods(http.MethodGet)
	r.HandleFunc("/faults", s.serveFaults).Methods(http.MethodGet, http.MethodPost)
	r.HandleFunc("/health", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, struct{}{}) })
	return s.countAuthorization(r)
}

func (s *Service) countAuthorization(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if len(r.Header.Values("Authorization")) > 0 {
			s.mu.Lock()
			s.audit.AuthorizationHeaders++
			s.mu.Unlock()
		}
		next.ServeHTTP(w, r)
	})
}

// bookingResponse is the response to a booking.
type bookingResponse struct {
	Booking string `json:"booking"`
	// Run is the number of times that this booking has taken effect, including this one.
	Run int `json:"run"`
	// BodyHash is a hash of the request body, by which a caller checks that the response belongs to its request.
	BodyHash uint64 `json:"body_hash"`
}

func (s *Service) booking(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(HeaderBookingID)
	if id == "" {
		http.Error(w, "header "+HeaderBookingID+" is missing", http.StatusBadRequest)
		return
	}
	hash := fnv.New64a()
	if _, err := io.Copy(hash, http.MaxBytesReader(w, r.Body, maxBody)); err != nil {
		http.Error(w, "body: "+err.Error(), http.StatusBadRequest)
		return
	}
	defer s.trackRunning()()
	faults := s.nextFaults()
	s.applyFaultsBefore(r, &faults)
	answer := &bookingResponse{Booking: id, Run: s.recordBooking(id), BodyHash: hash.Sum64()}
	s.applyFaultsAfter(r, &faults)
	writeJSON(w, answer)
}

// stockResponse is the response to a stock lookup.
type stockResponse struct {
	Path  string `json:"path"`
	Count uint64 `json:"count"`
}

func (s *Service) stock(w http.ResponseWriter, r *http.Request) {
	defer s.trackRunning()()
	faults := s.nextFaults()
	s.applyFaultsBefore(r, &faults)
	hash := fnv.New64a()
	_, _ = io.WriteString(hash, r.URL.Path)
	s.mu.Lock()
	s.audit.Lookups++
	s.mu.Unlock()
	s.applyFaultsAfter(r, &faults)
	writeJSON(w, &stockResponse{Path: r.URL.Path, Count: hash.Sum64() % 1000})
}

// trackRunning counts a request as running until the returned function is called.
func (s *Service) trackRunning() func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.audit.Running++
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.audit.Running--
	}
}

// recordBooking makes a booking take effect and returns how often it has taken effect.
func (s *Service) recordBooking(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.audit.Bookings[id]++
	runs := s.audit.Bookings[id]
	if runs == 2 {
		s.audit.DoubleRuns = append(s.audit.DoubleRuns, id)
	}
	return runs
}

// nextFaults returns the faults to inject into a new request, and ends the faults after Count requests.
func (s *Service) nextFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	faults := s.faults
	if s.faults.Count > 0 {
		s.faults.Count--
		if s.faults.Count == 0 {
			s.faults = Faults{}
		}
	}
	return faults
}

// applyFaultsBefore simulates the latency and injects the faults before the request takes effect. It panics with
// http.ErrAbortHandler if a fault ends the request.
func (s *Service) applyFaultsBefore(r *http.Request, f *Faults) {
	s.sleep(r, s.latency)
	if f.DropBefore {
		panic(http.ErrAbortHandler)
	}
	if f.StallBefore {
		s.stall(r)
	}
}

// applyFaultsAfter injects the faults after the request has taken effect. It panics with http.ErrAbortHandler if a
// fault ends the request.
func (s *Service) applyFaultsAfter(r *http.Request, f *Faults) {
	s.sleep(r, time.Duration(f.DelayMS)*time.Millisecond)
	if f.DropAfter {
		panic(http.ErrAbortHandler)
	}
	if f.StallAfter {
		s.stall(r)
	}
}

// sleep waits for d, or until the caller disconnects. A request whose caller disconnected still takes effect.
func (s *Service) sleep(r *http.Request, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
	}
}

// stall waits until the caller disconnects or the service stops, and then closes the connection.
func (s *Service) stall(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-s.stopping.Done():
	}
	panic(http.ErrAbortHandler)
}

// Audit returns a snapshot of the audit data.
func (s *Service) Audit() *Audit {
	s.mu.Lock()
	defer s.mu.Unlock()
	audit := s.audit
	audit.Bookings = make(map[string]int, len(s.audit.Bookings))
	for id, runs := range s.audit.Bookings {
		audit.Bookings[id] = runs
	}
	audit.DoubleRuns = append([]string{}, s.audit.DoubleRuns...)
	return &audit
}

// SetFaults replaces the injected faults.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

func (s *Service) serveAudit(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.Audit())
}

func (s *Service) serveFaults(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		var faults Faults
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&faults); err != nil {
			http.Error(w, fmt.Sprintf("faults: %v", err), http.StatusBadRequest)
			return
		}
		s.SetFaults(faults)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(w, s.faults)
}

func writeJSON(w http.ResponseWriter, message any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(message)
}
