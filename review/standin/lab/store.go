// Package lab has small stand-ins of the users' platform for the cases of the review: its metadata store, a runner of a plain
// service, clients, and the means to start the router with the command of the deploy file.
package lab

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Mode says how the store treats the calls that arrive on one path.
type Mode int

const (
	// Up answers each call.
	Up Mode = iota
	// Busy answers each call with 503 and does nothing.
	Busy
	// Silent answers nothing and does nothing.
	Silent
)

// answerTime is the time of an answer on the users' sheets.
const answerTime = 4 * time.Millisecond

type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Rev       int64  `json:"rev"`
	Created   int64  `json:"create_revision,omitempty"`
	Lease     int64  `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type lease struct {
	ttl  time.Duration
	ends time.Time
}

// Store is the metadata store. Each machine has a path of its own to it, so that the store can refuse some machines and serve others.
type Store struct {
	mu        sync.Mutex
	rev       int64
	items     map[string]item
	history   []item
	leases    map[int64]*lease
	nextLease int64
	changed   chan struct{}
	modes     map[string]Mode
	switched  chan struct{}
	listeners []net.Listener
}

// NewStore returns an empty store.
func NewStore() *Store {
	s := &Store{items: map[string]item{}, leases: map[int64]*lease{}, nextLease: 77000, rev: 100, changed: make(chan struct{}),
		modes: map[string]Mode{}, switched: make(chan struct{})}
	go func() {
		for range time.Tick(50 * time.Millisecond) {
			s.expire()
		}
	}()
	return s
}

// Path opens a path to the store and returns its address.
func (s *Store) Path(name string) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s.listeners = append(s.listeners, l)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(name, w, r) })}
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), nil
}

// SetMode changes how the store treats the calls of some machines; none stands for all. Watches that wait are cut.
func (s *Store) SetMode(mode Mode, names ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(names) == 0 {
		s.modes = map[string]Mode{"": mode}
	}
	for _, name := range names {
		s.modes[name] = mode
	}
	close(s.switched)
	s.switched = make(chan struct{})
}

func (s *Store) mode(name string) (Mode, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if mode, ok := s.modes[name]; ok {
		return mode, s.switched
	}
	return s.modes[""], s.switched
}

func (s *Store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.ends) {
			s.endLease(id)
		}
	}
}

func (s *Store) endLease(id int64) {
	delete(s.leases, id)
	for key, it := range s.items {
		if it.Lease == id {
			s.write(key, nil, 0, true)
		}
	}
}

func (s *Store) write(key string, value []byte, lease int64, remove bool) {
	s.rev++
	old, ok := s.items[key]
	it := item{Key: key, Value: value, Rev: s.rev, Created: s.rev, Lease: lease, Tombstone: remove}
	if ok && !remove {
		it.Created = old.Created
	}
	if remove {
		delete(s.items, key)
	} else {
		s.items[key] = it
	}
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

// Put writes a key as the operator or a runner does, and returns when the write was acknowledged.
func (s *Store) Put(key string, value any) time.Time {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	s.write(key, text, 0, false)
	s.mu.Unlock()
	return time.Now()
}

// Delete removes a key, and returns when that was acknowledged.
func (s *Store) Delete(key string) time.Time {
	s.mu.Lock()
	s.write(key, nil, 0, true)
	s.mu.Unlock()
	return time.Now()
}

// Keys returns the keys with a prefix.
func (s *Store) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	return keys
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if body != nil {
		_ = json.NewEncoder(w).Encode(body)
	}
}

func (s *Store) serve(name string, w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL      int64 `json:"ttl_ms"`
		Expected []struct {
			Key string `json:"key"`
			Rev int64  `json:"rev"`
		} `json:"expected"`
		Set []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"set_keys"`
		Delete []string `json:"delete"`
	}
	if r.Method == http.MethodPost && r.ContentLength != 0 {
		if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
			reply(w, 400, nil)
			return
		}
	}
	time.Sleep(answerTime)
	mode, switched := s.mode(name)
	switch mode {
	case Busy:
		reply(w, 503, nil)
		return
	case Silent:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	query := r.URL.Query()
	switch path := r.URL.Path; {
	case path == "/v1/kv-key":
		s.mu.Lock()
		it, ok := s.items[query.Get("key")]
		s.mu.Unlock()
		if !ok {
			reply(w, 404, nil)
			return
		}
		reply(w, 200, it)
	case path == "/v1/kv-range":
		s.mu.Lock()
		items := []item{}
		for key, it := range s.items {
			if strings.HasPrefix(key, query.Get("path_prefix")) && key > query.Get("after") {
				items = append(items, it)
			}
		}
		rev := s.rev
		s.mu.Unlock()
		sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
		more := len(items) > 500
		if more {
			items = items[:500]
		}
		reply(w, 200, map[string]any{"items": items, "more_pages": more, "current_rev": rev})
	case path == "/v1/kv-watch":
		s.watch(w, r, switched)
	case path == "/v1/kv-txn":
		s.mu.Lock()
		defer s.mu.Unlock()
		conflict, present := false, []item{}
		for _, e := range body.Expected {
			if s.items[e.Key].Rev != e.Rev {
				conflict = true
			}
			if it, ok := s.items[e.Key]; ok {
				present = append(present, it)
			}
		}
		if conflict {
			reply(w, 412, map[string]any{"items": present})
			return
		}
		for _, put := range body.Set {
			if put.Lease != 0 && s.leases[put.Lease] == nil {
				reply(w, 404, nil)
				return
			}
		}
		for _, put := range body.Set {
			s.write(put.Key, put.Value, put.Lease, false)
		}
		for _, key := range body.Delete {
			s.write(key, nil, 0, true)
		}
		reply(w, 200, map[string]any{"rev": s.rev})
	case path == "/v1/kv-lease":
		s.mu.Lock()
		s.nextLease++
		id, ttl := s.nextLease, time.Duration(body.TTL)*time.Millisecond
		s.leases[id] = &lease{ttl, time.Now().Add(ttl)}
		s.mu.Unlock()
		reply(w, 200, map[string]any{"lease": id, "ttl_ms": body.TTL})
	case strings.HasPrefix(path, "/v1/kv-keep/"), strings.HasPrefix(path, "/v1/kv-lease-end/"):
		id, _ := strconv.ParseInt(path[strings.LastIndex(path, "/")+1:], 10, 64)
		s.mu.Lock()
		l := s.leases[id]
		if l != nil && r.Method == http.MethodDelete {
			s.endLease(id)
		} else if l != nil {
			l.ends = time.Now().Add(l.ttl)
		}
		s.mu.Unlock()
		if l == nil {
			reply(w, 404, nil)
			return
		}
		reply(w, 200, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
	default:
		reply(w, 404, nil)
	}
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, switched <-chan struct{}) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(query.Get("wait_ms"), 10, 64)
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		events := []item{}
		for i := len(s.history) - 1; i >= 0 && s.history[i].Rev > after; i-- {
			if strings.HasPrefix(s.history[i].Key, query.Get("path_prefix")) {
				events = append([]item{s.history[i]}, events...)
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		done := false
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-timer.C:
				done = true
			case <-switched:
				panic(http.ErrAbortHandler)
			case <-r.Context().Done():
				return
			}
		}
		if len(events) > 0 || done {
			reply(w, 200, map[string]any{"events": events, "current_rev": rev})
			return
		}
	}
}
