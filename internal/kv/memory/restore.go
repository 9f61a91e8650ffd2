package memory

import (
	"maps"
	"time"

	"github.com/fulmardoor/fulmardoor/internal/kv"
)

// Copy is the content of a store at one revision.
type Copy struct {
	revision    int64
	pairs       map[string]kv.Pair
	leases      map[int64]time.Duration // times to live
	lastLeaseID int64
}

// Copy returns a copy of the store's content.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := Copy{revision: s.revision, pairs: maps.Clone(s.pairs), leases: make(map[int64]time.Duration, len(s.leases)), lastLeaseID: s.lastLeaseID}
	for id, l := range s.leases {
		c.leases[id] = l.ttl
	}
	return c
}

// Restore replaces the store's content with a copy, as in a restore from a backup. Later writes and leases are lost, and their
// revisions and lease IDs are given out again. The leases of the copy get their whole time to live. Running watches end.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.leases {
		l.timer.Stop()
	}
	s.revision, s.pairs, s.lastLeaseID = c.revision, maps.Clone(c.pairs), c.lastLeaseID
	s.leases = make(map[int64]*lease, len(c.leases))
	for id, ttl := range c.leases {
		s.addLeaseLocked(id, ttl)
	}
	for key, pair := range s.pairs {
		if l, ok := s.leases[pair.LeaseID]; ok {
			l.keys[key] = struct{}{}
		}
	}
	s.log = s.log[:len(s.log)-len(s.logFromLocked(c.revision+1))]
	s.compactedRevision = min(s.compactedRevision, c.revision)
	s.restores++
	s.outages++
	s.notifyWatchesLocked()
}

// Restores returns how often the store went back to a copy.
func (s *Store) Restores() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.restores
}
