package main

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

// storeItem is a key of the store with its value.
type storeItem struct {
	Key            string `json:"key"`
	Value          []byte `json:"value"`
	Revision       int64  `json:"rev"`
	CreateRevision int64  `json:"create_revision"`
	Lease          int64  `json:"lease"`
	Tombstone      bool   `json:"tombstone,omitempty"`
}

type storeLease struct {
	ttl     time.Duration
	expires time.Time
}

// store is the platform's metadata store: linearizable, with leases and a complete history.
type store struct {
	address string

	mu       sync.Mutex // guards the fields below
	revision int64
	items    map[string]*storeItem
	history  []storeItem
	leases   map[int64]*storeLease
	changed  chan struct{}
}

func startStore(address string) (*store, error) {
	s := &store{revision: 1, items: make(map[string]*storeItem), leases: make(map[int64]*storeLease), changed: make(chan struct{})}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s.address = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-key", s.get)
	mux.HandleFunc("GET /v1/kv-range", s.list)
	mux.HandleFunc("GET /v1/kv-watch", s.watch)
	mux.HandleFunc("POST /v1/kv-txn", s.txn)
	mux.HandleFunc("POST /v1/kv-lease", s.grant)
	mux.HandleFunc("POST /v1/kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /v1/kv-lease-end/{id}", s.end)
	go func() { _ = (&http.Server{Handler: mux, ReadHeaderTimeout: 10 * time.Second}).Serve(listener) }()
	go s.expireLeases()
	return s, nil
}

func (s *store) expireLeases() {
	for range time.Tick(20 * time.Millisecond) {
		s.mu.Lock()
		for id, lease := range s.leases {
			if time.Now().After(lease.expires) {
				s.endLocked(id)
			}
		}
		s.mu.Unlock()
	}
}

func (s *store) endLocked(id int64) {
	delete(s.leases, id)
	for key, item := range s.items {
		if item.Lease == id {
			s.deleteLocked(key)
		}
	}
}

func (s *store) putLocked(key string, value []byte, lease int64) {
	s.revision++
	item := &storeItem{Key: key, Value: value, Revision: s.revision, CreateRevision: s.revision, Lease: lease}
	if old := s.items[key]; old != nil {
		item.CreateRevision = old.CreateRevision
	}
	s.items[key] = item
	s.recordLocked(*item)
}

func (s *store) deleteLocked(key string) {
	if s.items[key] == nil {
		return
	}
	delete(s.items, key)
	s.revision++
	s.recordLocked(storeItem{Key: key, Revision: s.revision, Tombstone: true})
}

func (s *store) recordLocked(item storeItem) {
	s.history = append(s.history, item)
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key as the operator or a runner does. It returns when the store has acknowledged it.
func (s *store) put(key string, value any) {
	text, _ := json.Marshal(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.putLocked(key, text, 0)
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deleteLocked(key)
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // fails only if the caller has disconnected
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	item := s.items[r.URL.Query().Get("key")]
	if item == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, item)
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	prefix, after := r.URL.Query().Get("path_prefix"), r.URL.Query().Get("after")
	items := []*storeItem{}
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, item)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	reply(w, http.StatusOK, map[string]any{"items": items, "more_pages": false, "current_rev": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("path_prefix")
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	waitMs, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timeout := time.After(time.Duration(waitMs) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []storeItem{}
		for _, item := range s.history {
			if item.Revision > after && strings.HasPrefix(item.Key, prefix) {
				events = append(events, item)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "current_rev": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			reply(w, http.StatusOK, map[string]any{"events": events, "current_rev": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Expected []struct {
			Key      string `json:"key"`
			Revision int64  `json:"rev"`
		} `json:"expected"`
		Set []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"set_keys"`
		Delete []string `json:"delete"`
	}
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, expected := range call.Expected {
		revision := int64(0)
		if item := s.items[expected.Key]; item != nil {
			revision = item.Revision
		}
		if revision != expected.Revision {
			reply(w, http.StatusPreconditionFailed, map[string]any{"items": []any{}})
			return
		}
	}
	for _, put := range call.Set {
		if put.Lease != 0 && s.leases[put.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, put := range call.Set {
		s.putLocked(put.Key, put.Value, put.Lease)
	}
	for _, key := range call.Delete {
		s.deleteLocked(key)
	}
	reply(w, http.StatusOK, map[string]any{"rev": s.revision})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var call struct {
		TTLMs int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	ttl := time.Duration(call.TTLMs) * time.Millisecond
	s.leases[s.revision] = &storeLease{ttl: ttl, expires: time.Now().Add(ttl)}
	reply(w, http.StatusOK, map[string]any{"lease": s.revision, "ttl_ms": call.TTLMs})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	lease := s.leases[id]
	if lease == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	lease.expires = time.Now().Add(lease.ttl)
	reply(w, http.StatusOK, map[string]any{"ttl_ms": lease.ttl.Milliseconds()})
}

func (s *store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.endLocked(id)
	reply(w, http.StatusOK, map[string]any{})
}
