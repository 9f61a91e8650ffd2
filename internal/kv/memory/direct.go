package memory

import (
	"bytes"

	"github.com/fulmardoor/fulmardoor/internal/kv"
)

// The functions below bypass all faults and are not counted as calls. Tests use them to arrange and inspect contents.

// Put writes a pair without a lease, whatever its revision, and returns the new revision.
func (s *Store) Put(key string, value []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.putLocked(key, bytes.Clone(value), 0)
}

// Remove deletes a key and reports whether it existed.
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
