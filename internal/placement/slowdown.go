package placement

import (
	"math"
	"time"
)

// The load pattern of this file: upstreams whose hosts slow down for some hundred milliseconds at a time, as they share them with others. Each answer
// says how long work takes at that moment; when the next request is placed, the figure is old.

const (
	// minSlowdown and maxSlowdown limit a reported slowdown. What is beyond them says nothing about a host that answers.
	minSlowdown, maxSlowdown = 0.1, 100
	// changedSlowdown is the relative difference from which two figures of an upstream count as different.
	changedSlowdown = 0.2
	// priorSlowdownTime is the time for which a figure is assumed to hold before that is known. It counts as much as priorSlowdownChanges
	// observed changes.
	priorSlowdownTime    = 500 * time.Millisecond
	priorSlowdownChanges = 5
	// maxSlowdownGap is the longest time between two figures of an upstream that says how long they hold. In a longer time the
	// figure may have changed more than once.
	maxSlowdownGap = 2 * time.Second
	// slowdownMeanWeight is the weight of the newest figure in the mean of a service.
	slowdownMeanWeight = 0.02
)

// slowdownFigure is the slowdown that an upstream reported last. The zero value stands for none.
type slowdownFigure struct {
	value float64
	at    time.Time
}

// slowdownHistory says for how long the figures of a service hold, and their mean.
type slowdownHistory struct {
	mean    float64       // 0 before the first figure
	exposed time.Duration // time between figures that were compared
	changes float64       // how many of them differed from the one before
}

// record compares a figure with the one before of the same upstream.
func (h *slowdownHistory) record(before, now slowdownFigure) {
	if h.mean == 0 {
		h.mean = now.value
	}
	h.mean += slowdownMeanWeight * (now.value - h.mean)
	gap := now.at.Sub(before.at)
	if before.value == 0 || gap <= 0 || gap > maxSlowdownGap {
		return
	}
	h.exposed += gap
	if math.Abs(now.value/before.value-1) > changedSlowdown {
		h.changes++
	}
}

// holds returns the mean time for which a figure holds.
func (h *slowdownHistory) holds() time.Duration {
	return time.Duration(float64(h.exposed+priorSlowdownChanges*priorSlowdownTime) / (h.changes + priorSlowdownChanges))
}

// expected returns the expected slowdown at a time: the last figure, which approaches the mean with its age. It is 1 where no figures are reported.
func (h *slowdownHistory) expected(last slowdownFigure, now time.Time) float64 {
	if h == nil || h.mean == 0 {
		return 1
	}
	if last.value == 0 {
		return h.mean
	}
	age := max(0, now.Sub(last.at))
	return h.mean + (last.value-h.mean)*math.Exp(-float64(age)/float64(h.holds()))
}

// recordSlowdownLocked keeps a figure that an upstream reported, unless a newer one is known. b.mu must be held.
func (b *Board) recordSlowdownLocked(s *state, figure slowdownFigure) {
	if !(figure.value > 0) || !figure.at.After(s.slowdown.at) {
		return
	}
	figure.value = min(max(figure.value, minSlowdown), maxSlowdown)
	history := b.slowdowns[s.info.Service]
	if history == nil {
		history = new(slowdownHistory)
		b.slowdowns[s.info.Service] = history
	}
	history.record(s.slowdown, figure)
	s.slowdown = figure
}

// slowdownLocked returns the expected slowdown of an upstream. b.mu must be held.
func (b *Board) slowdownLocked(s *state, now time.Time) float64 {
	return b.slowdowns[s.info.Service].expected(s.slowdown, now)
}
