package quarantine

import (
	"math/rand/v2"
	"slices"
	"time"
)

// suspect is what is known of one part.
type suspect struct {
	// crashes are at least crashSeparation apart, but for one that shows that different requests crashed engines. The parts of
	// each are those of all requests with this part that waited at the engine, less the parts that were cleared.
	crashes []Crash
	// blockedUntil is when the next request is let through; zero while the part is not quarantined. probesFrom is the earliest
	// time at which any process lets one through, and blocks the number of quarantines so far.
	blockedUntil, probesFrom time.Time
	blocks                   int
	// probeUntil is until when a request that was let through may still reach its first event.
	probeUntil time.Time
}

// add adds a crash. It reports whether the part is quarantined because of it.
func (s *suspect) add(crash Crash) bool {
	for i := range s.crashes {
		if known := &s.crashes[i]; known.atSameEngine(&crash) {
			known.Parts = union(known.Parts, crash.Parts) // any of the requests that waited may be the cause
			return false
		}
	}
	if s.isSeparate(crash.At) || s.requests() < minRequests && crash.Request != s.crashes[0].Request {
		crash.Parts = slices.Clone(crash.Parts)
		s.crashes = append(s.crashes, crash)
		if len(s.crashes) > maxCrashesPerSuspect {
			s.crashes = s.crashes[1:]
		}
	}
	if crash.At.Before(s.probesFrom) || !s.hasEnoughCrashes() {
		return false
	}
	block := min(firstBlockTime<<min(s.blocks, 10), maxBlockTime)
	s.blocks++
	s.probesFrom = crash.At.Add(block)
	// With the random part, mostly one process lets a request through first, and its crash renews the quarantine at all.
	s.blockedUntil = s.probesFrom.Add(rand.N(block))
	s.probeUntil = s.blockedUntil
	return true
}

// isSeparate reports whether no known crash is within crashSeparation of at.
func (s *suspect) isSeparate(at time.Time) bool {
	return !slices.ContainsFunc(s.crashes, func(c Crash) bool { return at.Sub(c.At).Abs() < crashSeparation })
}

// requests returns the number of different requests that crashed engines.
func (s *suspect) requests() int {
	different := make(map[string]bool)
	for _, crash := range s.crashes {
		different[crash.Request] = true
	}
	return len(different)
}

// hasEnoughCrashes reports whether the crashes are enough for a quarantine.
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

// common returns the parts that all crashes have in common. It includes the part itself.
func (s *suspect) common() []string {
	common := slices.Clone(s.crashes[0].Parts)
	for _, crash := range s.crashes[1:] {
		common = slices.DeleteFunc(common, func(part string) bool { return !slices.Contains(crash.Parts, part) })
	}
	return common
}

// union returns the parts of a and those of b that are not in a.
func union(a, b []string) []string {
	for _, part := range b {
		if !slices.Contains(a, part) {
			a = append(a, part)
		}
	}
	return a
}

func (s *suspect) yieldsBefore(other *suspect) bool {
	if quarantined, otherQuarantined := !s.blockedUntil.IsZero(), !other.blockedUntil.IsZero(); quarantined != otherQuarantined {
		return otherQuarantined
	}
	return s.lastCrash().Before(other.lastCrash())
}

func (s *suspect) lastCrash() time.Time { return s.crashes[len(s.crashes)-1].At }
