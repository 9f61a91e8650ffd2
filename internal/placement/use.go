package placement

import (
	"github.com/fulmardoor/fulmardoor/internal/fleet"
	"github.com/fulmardoor/fulmardoor/internal/restage"
)

// Use returns the number of requests and prefills of all processes at each engine of a service.
func (b *Board) Use(service *fleet.Service) []restage.Engine {
	b.mu.Lock()
	defer b.mu.Unlock()
	var engines []restage.Engine
	for _, s := range b.states {
		if s.usable() && s.info.Service == service.Name && s.info.Stage != fleet.StageNone {
			engines = append(engines, restage.Engine{Upstream: s.info, Requests: s.running() + s.own.Prefills + s.others.Prefills})
		}
	}
	return engines
}

// MemoryInUse returns the memory, in tokens, that the requests of all processes are expected to use at the decode engines of a
// service that may get new requests.
func (b *Board) MemoryInUse(service string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	memory := 0
	for _, s := range b.states {
		if s.usable() && s.info.Service == service && s.info.Stage == fleet.StageDecode {
			memory += s.own.Memory + s.others.Memory
		}
	}
	return memory
}
