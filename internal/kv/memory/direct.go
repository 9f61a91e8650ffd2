package memory

import (
	"bytes"

	"github.com/fulmardoor/fulmardoor/internal/kv"
)

// The methods below ignore all faults and are not counted as calls. Tests use them to set up and inspect the store.

// Put writes a pair without a lease, without comparing its revision, and returns the new revision.
func (s *Store) Put(key string, value []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.putLocked(key, bytes.Clone(value), 0)
}

// Remove deletes a key, without comparing its revision, and reports whether it existed.
func (s *Store) Remove(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, exists := s.pairs[key]
	if exists {
		s.deleteLocked(key)
	}
	return exists
}

// Contents returns the pairs whose key has prefix, ordered by key.
func (s *Store) Contents(prefix string) []kv.Pair {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listLocked(prefix)
}
