// Package quarantine finds the parts of prompts that crash engines, and decides which requests are kept from the engines because
// of them. It does no I/O; callers pass in the current time.
//
// A part is suspected when an engine crashed while a request with it waited for its first event. A first event for any request
// with the part clears it, because a part that crashes engines never gets that far. A part that caused crashes at several
// engines with no first event in between is quarantined. Requests that crashed engines may have more than one part in common,
// and then the crashes do not tell which of them is the cause: only requests that have all of these parts are refused. A request
// with some of them is served, and either clears these parts or adds a crash that leaves fewer parts in common.
package quarantine

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	// minCrashes is the number of crashes after which a part is quarantined. Fewer happen by chance when engines fail for other
	// reasons.
	minCrashes = 3
	// minRequests is the number of different requests among them, so that the retries of a single request, which engines that fail
	// for other reasons may have broken each time, are not enough.
	minRequests = 2
	// crashSeparation is the time within which several crashes count as one, because a host or a rack that fails ends several
	// engines at the same moment.
	crashSeparation = 250 * time.Millisecond
	// firstBlockTime is how long a part is quarantined at first. The time doubles up to maxBlockTime each time that the request
	// let through afterwards crashes an engine again.
	firstBlockTime = time.Minute
	maxBlockTime   = time.Hour
	// probeTime is how long the request that is let through after a quarantine may take to its first event.
	probeTime = 10 * time.Second
	// suspicionTime is how long a part that is not quarantined stays suspected without a further crash.
	suspicionTime = 2 * time.Minute
	// maxSuspects limits the memory. The suspect whose last crash is the oldest makes room for a new one.
	maxSuspects = 512
	// maxCrashesPerSuspect limits the crashes that are kept for each part.
	maxCrashesPerSuspect = 8
	// maxParts limits the parts of one prompt that are suspected.
	maxParts = 32
)

// Crash says that an engine crashed while a request waited for its first event.
type Crash struct {
	// Upstream and Incarnation identify the process that crashed. It counts once for a part.
	Upstream    string
	Incarnation int64
	// Request identifies the request; the retries of its caller have the same value.
	Request string
	// Parts are the identifiers of the parts of the prompt that other requests may share.
	Parts []string
	At    time.Time
}

// suspect is what is known of one part.
type suspect struct {
	crashes []Crash
	// common are the parts that all requests of the crashes have and that are not cleared. It includes the part itself.
	common []string
	// blockedUntil is when the next request is let through; zero while the part is not quarantined. blocks is the number of
	// quarantines so far.
	blockedUntil time.Time
	blocks       int
	// probeUntil is until when a request that was let through may still reach its first event.
	probeUntil time.Time
}

// Report is what a process tells the others when it learns something.
type Report struct {
	Crashes []Crash
	// Cleared are the parts that a first event has cleared.
	Cleared []string
}

// List holds the suspected parts. Its methods may be called concurrently.
type List struct {
	// send passes a report to the other processes. It is called without mu held and must not block.
	send func(Report)

	mu       sync.Mutex // guards suspects
	suspects map[string]*suspect
}

// NewList returns an empty list.
func NewList() *List { return &List{send: func(Report) {}, suspects: make(map[string]*suspect)} }

// OnReport sets the function that passes reports to the other processes. It must be called before the list is used.
func (l *List) OnReport(send func(Report)) { l.send = send }

// RecordCrash adds a crash that this process saw and returns the parts that are quarantined because of it.
func (l *List) RecordCrash(crash Crash) (quarantined []string) {
	if len(crash.Parts) == 0 {
		return nil
	}
	crash.Parts = crash.Parts[:min(len(crash.Parts), maxParts)]
	quarantined = l.addCrash(crash)
	l.send(Report{Crashes: []Crash{crash}})
	return quarantined
}

// Apply adds the report of another process and returns the parts that are quarantined because of it.
func (l *List) Apply(report Report) (quarantined []string) {
	for _, crash := range report.Crashes {
		quarantined = append(quarantined, l.addCrash(crash)...)
	}
	l.clear(report.Cleared)
	return quarantined
}

func (l *List) addCrash(crash Crash) (quarantined []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(crash.At)
	for _, part := range crash.Parts {
		s := l.suspects[part]
		if s == nil {
			l.makeRoom()
			s = &suspect{common: slices.Clone(crash.Parts)}
			l.suspects[part] = s
		}
		if s.add(crash) {
			quarantined = append(quarantined, part)
		}
	}
	return quarantined
}

// add adds a crash. It reports whether the part is quarantined because of it.
func (s *suspect) add(crash Crash) bool {
	if slices.ContainsFunc(s.crashes, func(c Crash) bool { return c.Upstream == crash.Upstream && c.Incarnation == crash.Incarnation }) {
		return false
	}
	s.crashes = append(s.crashes, crash)
	if len(s.crashes) > maxCrashesPerSuspect {
		s.crashes = s.crashes[1:]
	}
	s.common = slices.DeleteFunc(s.common, func(part string) bool { return !slices.Contains(crash.Parts, part) })
	if s.blockedUntil.IsZero() && !s.certain() || crash.At.Before(s.blockedUntil) {
		return false
	}
	block := min(firstBlockTime<<min(s.blocks, 10), maxBlockTime)
	s.blocks++
	// The random part keeps the processes from all letting a request through at the same time.
	s.blockedUntil = crash.At.Add(block + rand.N(block))
	s.probeUntil = s.blockedUntil
	return true
}

// certain reports whether the crashes are enough for a quarantine.
func (s *suspect) certain() bool {
	times := make([]time.Time, len(s.crashes))
	requests := make(map[string]bool)
	for i, crash := range s.crashes {
		times[i] = crash.At
		requests[crash.Request] = true
	}
	slices.SortFunc(times, time.Time.Compare)
	var separate []time.Time
	for _, at := range times {
		if len(separate) == 0 || at.Sub(separate[len(separate)-1]) >= crashSeparation {
			separate = append(separate, at)
		}
	}
	return len(separate) >= minCrashes && len(requests) >= minRequests
}

// RecordFirstEvent clears the parts of a request that reached its first event, and returns those that were suspected.
func (l *List) RecordFirstEvent(parts []string) (cleared []string) {
	if cleared = l.clear(parts); len(cleared) > 0 {
		l.send(Report{Cleared: cleared})
	}
	return cleared
}

func (l *List) clear(parts []string) (cleared []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.suspects) == 0 {
		return nil
	}
	for _, part := range parts {
		if l.suspects[part] == nil {
			continue
		}
		delete(l.suspects, part)
		cleared = append(cleared, part)
	}
	if len(cleared) == 0 {
		return nil
	}
	for _, s := range l.suspects {
		s.common = slices.DeleteFunc(s.common, func(part string) bool { return slices.Contains(cleared, part) })
	}
	return cleared
}

// Decision says whether a request may be sent to an engine.
type Decision struct {
	// Blocked is set if it may not, because all requests that crashed engines have Parts in common. Its caller may try again after
	// RetryAfter.
	Blocked    bool
	Parts      []string
	RetryAfter time.Duration
	// Probe is set if the request finds out whether a part still crashes engines, after its quarantine.
	Probe bool
}

// Check decides about a request with these parts without sending it.
func (l *List) Check(parts []string, now time.Time) Decision { return l.decide(parts, now, false) }

// Enter decides about a request with these parts that is sent to an engine now, unless it is blocked. When a quarantine is over,
// one request at a time is let through.
func (l *List) Enter(parts []string, now time.Time) Decision { return l.decide(parts, now, true) }

func (l *List) decide(parts []string, now time.Time, enter bool) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.suspects) == 0 {
		return Decision{}
	}
	var probed []*suspect
	for _, part := range parts {
		s := l.suspects[part]
		if s == nil || s.blockedUntil.IsZero() || !containsAll(parts, s.common) {
			continue
		}
		if until := later(s.blockedUntil, s.probeUntil); now.Before(until) {
			return Decision{Blocked: true, Parts: slices.Clone(s.common), RetryAfter: until.Sub(now)}
		}
		probed = append(probed, s)
	}
	if enter {
		for _, s := range probed {
			s.probeUntil = now.Add(probeTime)
		}
	}
	return Decision{Probe: len(probed) > 0}
}

func containsAll(parts, wanted []string) bool {
	return !slices.ContainsFunc(wanted, func(part string) bool { return !slices.Contains(parts, part) })
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Known returns a report of all suspected parts, for a process that does not know them.
func (l *List) Known() Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	var crashes []Crash
	for _, s := range l.suspects {
		for _, crash := range s.crashes {
			if !slices.ContainsFunc(crashes, crash.same) {
				crashes = append(crashes, crash)
			}
		}
	}
	return Report{Crashes: crashes}
}

// same reports whether two values describe the same crash and request.
func (c Crash) same(other Crash) bool {
	return c.Upstream == other.Upstream && c.Incarnation == other.Incarnation && c.Request == other.Request
}

// expire removes the parts that were not quarantined and had no crash within suspicionTime.
func (l *List) expire(now time.Time) {
	for part, s := range l.suspects {
		if s.blockedUntil.IsZero() && now.Sub(s.lastCrash()) > suspicionTime {
			delete(l.suspects, part)
		}
	}
}

// makeRoom removes the suspect whose last crash is the oldest if the list is full.
func (l *List) makeRoom() {
	if len(l.suspects) < maxSuspects {
		return
	}
	oldest := ""
	for part, s := range l.suspects {
		if oldest == "" || s.lastCrash().Before(l.suspects[oldest].lastCrash()) {
			oldest = part
		}
	}
	delete(l.suspects, oldest)
}

func (s *suspect) lastCrash() time.Time { return s.crashes[len(s.crashes)-1].At }
