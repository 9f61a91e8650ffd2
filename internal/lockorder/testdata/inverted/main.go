// Command inverted has two components that call each other under their mutexes, one of them through a callback.
package main

import "sync"

type health struct {
	mu    sync.Mutex
	pause func() int
}

func (h *health) wait() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pause()
}

func (h *health) tryNow() {
	h.mu.Lock()
	defer h.mu.Unlock()
}

type mesh struct {
	mu         sync.RWMutex
	onRegained func()
	log        log
}

func (m *mesh) lists() int {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return 1
}

func (m *mesh) heartbeat(regained bool) {
	m.mu.Lock()
	m.log.add()
	if regained {
		m.onRegained()
	}
	m.mu.Unlock()
	m.log.flush(m)
	go m.lists()
}

type log struct{ mu sync.Mutex }

func (l *log) add() {
	l.mu.Lock()
	l.mu.Unlock()
}

// flush calls the mesh after its own mutex was unlocked.
func (l *log) flush(m *mesh) {
	l.mu.Lock()
	l.mu.Unlock()
	m.lists()
}

func main() {
	m := &mesh{}
	h := &health{pause: m.lists}
	m.onRegained = h.tryNow
	go h.wait()
	m.heartbeat(true)
}
