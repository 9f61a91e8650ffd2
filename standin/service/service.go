// Package service is a stand-in for a plain HTTP service: a booking that must not run twice and stock lookups that may
// be repeated.
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

// HeaderBookingID names a booking.
const HeaderBookingID = "X-Booking-Id"

// maxBody is the longest request body, bytes.
const maxBody = 16 << 20

// Faults is the set of faults in force, applied to bookings and stock lookups. The zero value is a sound service. With
// Count above zero, the faults cease after that many requests.
type Faults struct {
	// DelayMS delays each answer.
	DelayMS int `json:"delay_ms"`
	// StallBefore never answers, and the booking does not take effect.
	StallBefore bool `json:"stall_before"`
	// StallAfter never answers, but the booking took effect.
	StallAfter bool `json:"stall_after"`
	// DropBefore closes the connection before the booking takes effect.
	DropBefore bool `json:"drop_before"`
	// DropAfter closes the connection after the booking took effect.
	DropAfter bool `json:"drop_after"`
	// Count is the number of requests that meet the faults; zero means all.
	Count int `json:"count"`
}

// Audit is what the service saw.
type Audit struct {
	// Bookings is how often each booking took effect.
	Bookings map[string]int `json:"bookings"`
	// DoubleRuns lists bookings that took effect more than once.
	DoubleRuns []string `json:"double_runs"`
	Lookups    int      `json:"lookups"`
	Running    int      `json:"running"`
	// AuthorizationHeaders counts requests that carried a caller's key; no header is kept.
	AuthorizationHeaders int `json:"authorization_headers"`
}

// Service is safe for concurrent use.
type Service struct {
	// Latency is the time that each call takes.
	latency time.Duration
	// stopping ends stalled requests when the service stops.
	stopping context.Context
	stop     context.CancelFunc

	mu     sync.Mutex
	faults Faults
	audit  Audit
}

// New returns a service whose calls each take latency.
func New(latency time.Duration) *Service {
	s := &Service{latency: latency, audit: Audit{Bookings: make(map[string]int)}}
	s.stopping, s.stop = context.WithCancel(context.Background())
	return s
}

// Stop ends the requests that are stalled by a fault.
func (s *Service) Stop() {
	s.stop()
}

// Handler returns the routes of the service.
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

// bookingAnswer is the answer to a booking.
type bookingAnswer struct {
	Booking string `json:"booking"`
	// Run counts the runs of this booking, this one included.
	Run int `json:"run"`
	// BodyHash lets a caller check that the answer belongs to its request.
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
	defer s.enter()()
	faults := s.takeFaults()
	s.before(r, &faults)
	answer := &bookingAnswer{Booking: id, Run: s.run(id), BodyHash: hash.Sum64()}
	s.after(r, &faults)
	writeJSON(w, answer)
}

// stockAnswer is the answer to a lookup.
type stockAnswer struct {
	Path  string `json:"path"`
	Count uint64 `json:"count"`
}

func (s *Service) stock(w http.ResponseWriter, r *http.Request) {
	defer s.enter()()
	faults := s.takeFaults()
	s.before(r, &faults)
	hash := fnv.New64a()
	_, _ = io.WriteString(hash, r.URL.Path)
	s.mu.Lock()
	s.audit.Lookups++
	s.mu.Unlock()
	s.after(r, &faults)
	writeJSON(w, &stockAnswer{Path: r.URL.Path, Count: hash.Sum64() % 1000})
}

// enter counts a running request until the returned function is called.
func (s *Service) enter() func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.audit.Running++
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.audit.Running--
	}
}

// run makes a booking take effect and returns how often it has.
func (s *Service) run(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.audit.Bookings[id]++
	runs := s.audit.Bookings[id]
	if runs == 2 {
		s.audit.DoubleRuns = append(s.audit.DoubleRuns, id)
	}
	return runs
}

// takeFaults returns the faults that the next request meets.
func (s *Service) takeFaults() Faults {
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

// before applies what comes before the effect. It does not return if the request ends there.
func (s *Service) before(r *http.Request, f *Faults) {
	s.pause(r, s.latency)
	if f.DropBefore {
		panic(http.ErrAbortHandler)
	}
	if f.StallBefore {
		s.stall(r)
	}
}

// after applies what comes between effect and answer. It does not return if the request ends there.
func (s *Service) after(r *http.Request, f *Faults) {
	s.pause(r, time.Duration(f.DelayMS)*time.Millisecond)
	if f.DropAfter {
		panic(http.ErrAbortHandler)
	}
	if f.StallAfter {
		s.stall(r)
	}
}

// pause waits for d; a caller that leaves in the meantime changes nothing.
func (s *Service) pause(r *http.Request, d time.Duration) {
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

// stall waits until the caller leaves or the service stops, and closes the connection.
func (s *Service) stall(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-s.stopping.Done():
	}
	panic(http.ErrAbortHandler)
}

// Audit returns a copy of what the service saw.
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

// SetFaults replaces the faults in force.
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
