package quarantine

import (
	"math/rand/v2"
	"slices"
	"time"
)

// suspect is what is known of one part.
type suspect struct {
	// identity is the identity of the request if the part is one; empty for a part of a prompt.
	identity string
	// evidence are the crashes for which the part is quarantined; empty while it is not. crashes are those that they do not
	// explain, because the requests lacked a part that the evidence has in common. They become the evidence when they are enough.
	//
	// Crashes are at least crashSeparation apart, but for one that shows that different requests crashed engines. The parts of
	// each are those of all requests with this part that waited at the engine, less the parts that were cleared.
	evidence, crashes []Crash
	// blockedUntil is when the next request is let through. probesFrom is the earliest time at which any process lets one
	// through, and blocks the number of quarantines so far.
	blockedUntil, probesFrom time.Time
	blocks                   int
	// ambiguousUntil takes the place of blockedUntil in the first quarantine of an identity while another one explains all its
	// crashes as well.
	ambiguousUntil time.Time
	// probeUntil is until when a request that was let through may still reach its first event.
	probeUntil time.Time
}

// add adds a crash. It reports whether a quarantine begins or is renewed because of it.
func (s *suspect) add(crash Crash) bool {
	if s.addToKnown(&crash) {
		return false
	}
	if s.identity != "" {
		return s.addRepeated(crash)
	}
	if s.quarantined() && containsAll(crash.Parts, s.common()) {
		if crash.At.Before(s.probesFrom) {
			return false
		}
		s.block(crash.At)
		return true
	}
	if s.isSeparate(crash.At) || s.requests() < minRequests && crash.Request != s.crashes[0].Request {
		crash.Parts = slices.Clone(crash.Parts)
		s.crashes = append(s.crashes, crash)
		if len(s.crashes) > maxCrashesPerSuspect {
			s.crashes = s.crashes[1:]
		}
	}
	if !s.hasEnoughCrashes() {
		return false
	}
	s.evidence, s.crashes = s.crashes, nil
	s.block(crash.At)
	return true
}

// addRepeated adds a crash to an identity. Each process that ended counts, however soon after another, because the attempts of one
// request follow each other at once. Crashes that renewed the quarantine stay in the evidence, so that a process that gets it from
// another one also continues with the doubled time.
func (s *suspect) addRepeated(crash Crash) bool {
	crash.Parts = []string{s.identity}
	if s.quarantined() {
		if crash.At.Before(s.probesFrom) { // sent before the quarantine
			return false
		}
		s.evidence = append(s.evidence, crash)
		if len(s.evidence) > maxCrashesPerSuspect {
			s.evidence = s.evidence[1:]
		}
		s.block(crash.At)
		return true
	}
	s.crashes = append(s.crashes, crash)
	if len(s.crashes) < minCrashes {
		return false
	}
	slices.SortFunc(s.crashes, func(a, b Crash) int { return a.At.Compare(b.At) }) // reports may come late
	s.evidence, s.crashes = s.crashes, nil
	s.block(s.evidence[len(s.evidence)-1].At)
	if s.mayBeOneFailure() {
		s.blockedUntil = s.ambiguousUntil
	}
	return true
}

// mayBeOneFailure reports whether the crashes of the evidence were at the same moment and at different requests, as when a host or a rack
// fails.
func (s *suspect) mayBeOneFailure() bool {
	requests := make(map[string]bool)
	for _, crash := range s.evidence {
		requests[crash.Request] = true
	}
	return len(requests) == len(s.evidence) && s.evidence[len(s.evidence)-1].At.Sub(s.evidence[0].At) < crashSeparation
}

// explains reports whether the suspect has a crash of each process in the evidence of other.
func (s *suspect) explains(other *suspect) bool {
	return !slices.ContainsFunc(other.evidence, func(crash Crash) bool {
		return !slices.ContainsFunc(s.evidence, func(c Crash) bool { return c.atSameEngine(&crash) }) &&
			!slices.ContainsFunc(s.crashes, func(c Crash) bool { return c.atSameEngine(&crash) })
	})
}

// addToKnown adds the parts of a request to the crash of the same engine, if it is known. Any of the requests that waited there may be
// the cause.
func (s *suspect) addToKnown(crash *Crash) bool {
	for _, crashes := range [][]Crash{s.evidence, s.crashes} {
		for i := range crashes {
			if known := &crashes[i]; known.atSameEngine(crash) {
				if s.identity == "" {
					known.Parts = union(known.Parts, crash.Parts)
				}
				return true
			}
		}
	}
	return false
}

func (s *suspect) quarantined() bool { return len(s.evidence) > 0 }

// block begins or renews the quarantine after a crash at at.
func (s *suspect) block(at time.Time) {
	block := min(firstBlockTime<<min(s.blocks, 10), maxBlockTime)
	s.blocks++
	s.probesFrom = at.Add(block)
	// With the random part, mostly one process lets a request through first, and its crash renews the quarantine at all.
	s.blockedUntil = s.probesFrom.Add(rand.N(block))
	s.probeUntil = time.Time{}
	if s.identity != "" && s.blocks == 1 {
		s.probesFrom = at.Add(ambiguousBlockTime)
		s.ambiguousUntil = s.probesFrom.Add(rand.N(ambiguousBlockTime))
	}
}

// clear removes parts that a first event has cleared from all crashes.
func (s *suspect) clear(parts []string) {
	if s.identity != "" {
		return
	}
	for _, crashes := range [][]Crash{s.evidence, s.crashes} {
		for i := range crashes {
			crashes[i].Parts = slices.DeleteFunc(crashes[i].Parts, func(part string) bool { return slices.Contains(parts, part) })
		}
	}
}

// isSeparate reports whether no crash outside the evidence is within crashSeparation of at.
func (s *suspect) isSeparate(at time.Time) bool {
	return !slices.ContainsFunc(s.crashes, func(c Crash) bool { return at.Sub(c.At).Abs() < crashSeparation })
}

// requests returns the number of different requests in the crashes outside the evidence.
func (s *suspect) requests() int {
	different := make(map[string]bool)
	for _, crash := range s.crashes {
		different[crash.Request] = true
	}
	return len(different)
}

// hasEnoughCrashes reports whether the crashes outside the evidence are enough for a quarantine.
func (s *suspect) hasEnoughCrashes() bool {
	times := make([]time.Time, len(s.crashes))
	for i, crash := range s.crashes {
		times[i] = crash.At
	}
	slices.SortFunc(times, time.Time.Compare)
	separate := 0
	var last time.Time
	for _, at := range times {
		if separate == 0 || at.Sub(last) >= crashSeparation {
			separate, last = separate+1, at
		}
	}
	return separate >= minCrashes && s.requests() >= minRequests
}

// common returns the parts that all crashes of the evidence have in common. It includes the part itself.
func (s *suspect) common() []string {
	if s.identity != "" {
		return []string{s.identity}
	}
	common := slices.Clone(s.evidence[0].Parts)
	for _, crash := range s.evidence[1:] {
		common = slices.DeleteFunc(common, func(part string) bool { return !slices.Contains(crash.Parts, part) })
	}
	return common
}

// union returns the parts of a and those of b that are not in a, up to maxPartsPerCrash.
func union(a, b []string) []string {
	for _, part := range b {
		if len(a) < maxPartsPerCrash && !slices.Contains(a, part) {
			a = append(a, part)
		}
	}
	return a
}

// expired reports whether nothing is lost without the suspect. A quarantined part of a prompt stays until it is cleared.
func (s *suspect) expired(now time.Time) bool {
	if s.quarantined() {
		return s.identity != "" && now.Sub(s.blockedUntil) > maxBlockTime
	}
	return now.Sub(s.lastCrash()) > suspicionTime
}

// compare returns a negative number if the suspect makes room before another one.
func (s *suspect) compare(other *suspect) int {
	if s.quarantined() != other.quarantined() {
		if other.quarantined() {
			return -1
		}
		return 1
	}
	if s.identity != "" && len(s.crashes) != len(other.crashes) {
		return len(s.crashes) - len(other.crashes)
	}
	return s.lastCrash().Compare(other.lastCrash())
}

// size returns the number of crashes.
func (s *suspect) size() int { return len(s.evidence) + len(s.crashes) }

func (s *suspect) firstCrash() time.Time {
	var first time.Time
	for _, crash := range slices.Concat(s.evidence, s.crashes) {
		if first.IsZero() || crash.At.Before(first) {
			first = crash.At
		}
	}
	return first
}

func (s *suspect) lastCrash() time.Time {
	if len(s.crashes) > 0 {
		return s.crashes[len(s.crashes)-1].At
	}
	return s.evidence[len(s.evidence)-1].At
}
