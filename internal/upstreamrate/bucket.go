package upstreamrate

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// burstTime is how much of the rate a bucket saves while no request is sent, at least one request.
	burstTime = 250 * time.Millisecond
	// slotWindow is how long after its begin a slot may be used. A slot that was missed is lost, so that processes without
	// contact to each other cannot save their slots and use them all at once.
	slotWindow = time.Second
)

// bucket is a token bucket that begins empty.
type bucket struct {
	level     float64
	updatedAt time.Time
}

// take takes one token, or returns the time until there is one.
func (b *bucket) take(perSecond float64, now time.Time) (wait time.Duration, ok bool) {
	capacity := max(1, perSecond*burstTime.Seconds())
	b.level = min(capacity, b.level+perSecond*max(0, now.Sub(b.updatedAt).Seconds()))
	b.updatedAt = now
	if b.level >= 1 {
		b.level--
		return 0, true
	}
	return seconds((1 - b.level) / perSecond), false
}

// place is the place of a process among all.
type place struct {
	number, of int
	// known is not set if the process is not on its own list of all processes, as before its entry in the store was read.
	known bool
}

// placeOf returns the place of a process among all. The order is that of hashes of the names, so that the processes of a host or data
// centre, whose names are alike, are not neighbours: if only these lose the issuer, their slots are spread too.
func placeOf(name string, names []string) place {
	p := place{of: len(names), known: slices.Contains(names, name)}
	own := xxhash.Sum64String(name)
	for _, other := range names {
		if hash := xxhash.Sum64String(other); hash < own || hash == own && other < name {
			p.number++
		}
	}
	return p
}

// slots lets one request of this process pass in each round. Time is divided into slots, one for each request that the rate allows, and a
// round has one slot of each process. Processes that count the slots from the same origin and know the same processes never share one,
// so within any time they use at most the slots that it touches, and those of a slotWindow before. If they know different ones, each still
// uses one slot of a round, and those that agree do not share one.
type slots struct {
	// unknownPlace is the begin of the slot, from 0 to 1 of a round, while the process does not know its place.
	unknownPlace float64
	// beganAt is when this process began to use slots; zero while the issuer answers. A slot that began earlier is not used, because the
	// issuer issues the permits of that time. After a restart, the process may also have used it already.
	beganAt time.Time
	usedAt  time.Time
	// usedRound is the length of the round in which a slot was used last.
	usedRound time.Duration
}

// take uses the current slot, or returns the time until the next one.
func (s *slots) take(perSecond float64, origin time.Time, p place, now time.Time) (wait time.Duration, ok bool) {
	slot := max(1, time.Duration(math.Ceil(float64(time.Second)/perSecond)))
	round := time.Duration(p.of) * slot
	begin := time.Duration(p.number) * slot
	if !p.known {
		begin = time.Duration(s.unknownPlace * float64(round))
	}
	sinceBegin := (now.Sub(origin) - begin) % round
	if sinceBegin < 0 {
		sinceBegin += round
	}
	if s.beganAt.IsZero() {
		s.beganAt = now
	}
	beganAt := now.Add(-sinceBegin)
	// A slot that is used late in its window is followed by the next one after round-slotWindow. A slot that follows earlier is one of another
	// order of the slots, after a change of the processes, the limit or the origin.
	earliest := s.usedAt.Add(min(round, s.usedRound) - slotWindow)
	if sinceBegin <= slotWindow && !beganAt.Before(s.beganAt) && beganAt.After(s.usedAt) && !beganAt.Before(earliest) {
		s.usedAt, s.usedRound = now, round
		return 0, true
	}
	return round - sinceBegin, false
}

func seconds(s float64) time.Duration {
	return time.Duration(min(s*float64(time.Second), math.MaxInt64/2))
}
