package engine

import (
	"time"

	"github.com/fulmardoor/fulmardoor/internal/engine"
)

// loadHistory keeps past load samples, so that the engine can report its load with a lag.
type loadHistory struct {
	samples []loadSample
}

type loadSample struct {
	at   time.Time
	load engine.Load
}

// at returns the load at a given time.
func (l *loadHistory) at(moment time.Time) engine.Load {
	var load engine.Load
	for _, s := range l.samples {
		if s.at.After(moment) {
			break
		}
		load = s.load
	}
	return load
}

// add appends a sample and drops the samples that are too old for a report with this lag.
func (l *loadHistory) add(now time.Time, load engine.Load, lag time.Duration) {
	if n := len(l.samples); n > 0 && l.samples[n-1].at.Equal(now) {
		l.samples[n-1].load = load
	} else {
		l.samples = append(l.samples, loadSample{at: now, load: load})
	}
	obsolete := 0
	for obsolete+1 < len(l.samples) && !l.samples[obsolete+1].at.After(now.Add(-lag)) {
		obsolete++
	}
	l.samples = l.samples[obsolete:]
}

// recordLoad adds a sample of the current load. The caller must hold mu.
func (c *Core) recordLoad() {
	var load engine.Load
	for r := range c.requests {
		if r.waiting {
			load.Waiting++
		} else {
			load.Running++
		}
	}
	load.KVUsage = float64(c.blocksHeld) / float64(c.cfg.MemoryBlocks)
	c.load.add(time.Now(), load, c.cfg.LoadLag)
}
