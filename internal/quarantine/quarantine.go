// Package quarantine finds the parts of prompts that crash engines, and the requests that crash upstreams of any kind each time
// that they come, and decides which requests are kept from the upstreams because of them. It does no I/O; callers pass in the current
// time.
//
// The identity of a request (Identity) is treated as one more of its parts, which only the same request has. Three upstreams that
// crashed with it and no answer in between quarantine it; the rules for parts of prompts below are stricter, because a wrong
// quarantine of a part concerns many requests.
//
// A part is suspected when an engine crashed while a request with it waited for its first event. A first event for any request
// with the part clears it, because a part that crashes engines never gets that far. A part that caused crashes at several
// engines with no first event in between is quarantined. Requests that crashed engines may have more than one part in common,
// and then the crashes do not tell which of them is the cause: only requests that have all of these parts are refused. A request
// with some of them is served, and either clears these parts or adds a crash that leaves fewer parts in common.
package quarantine

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
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
	// suspicionTime is how long a part that is not quarantined stays suspected without a further crash, and how long the time of
	// the last first event of a part is remembered.
	suspicionTime = 2 * time.Minute
	// maxSuspects and maxSurvivals limit the memory. The oldest entry makes room for a new one; quarantined parts go last.
	maxSuspects  = 512
	maxSurvivals = 4096
	// sweepInterval limits the cost of dropping expired survivals while the memory is full.
	sweepInterval = time.Second
	// maxCrashesPerSuspect limits the crashes that are kept for each part.
	maxCrashesPerSuspect = 8
	// maxParts limits the parts of one prompt that are considered. They are the last ones, which fewer requests share.
	maxParts = 64
	// maxPartsPerCrash limits the parts of all requests that waited at the engine of one crash.
	maxPartsPerCrash = 256
	// maxIdentities limits the memory for identities. A crash adds one for each request that was at the upstream, so there are more
	// of them than parts.
	maxIdentities = 2048
	// removedShare is the inverse of the share of the suspects that make room together.
	removedShare = 8
	// ambiguousBlockTime is how long the first quarantine of an identity lasts at least while another identity has the same
	// crashes. One of the two is sound then and must not be refused for long. It covers the restart of the upstreams.
	ambiguousBlockTime = 5 * time.Second
	// maxStoredCrashes limits the size of the report that is kept in the store. The latest crashes are kept.
	maxStoredCrashes = 512
)

// Crash says that an upstream crashed while a request waited for its answer, or for the first event of a stream.
type Crash struct {
	// Upstream and Incarnation identify the process that crashed. It counts once for a part.
	Upstream    string
	Incarnation int64
	// Request identifies the request; the retries of its caller have the same value.
	Request string
	// Parts are the identifiers of the parts of the prompt that other requests may share, and the identity of the request.
	Parts []string
	At    time.Time
	// seenHere is set if this process saw the crash itself.
	seenHere bool
}

// atSameEngine reports whether both values describe the crash of the same process.
func (c *Crash) atSameEngine(other *Crash) bool {
	return c.Upstream == other.Upstream && c.Incarnation == other.Incarnation
}

// Report is what a process tells the others when it learns something.
type Report struct {
	Crashes []Crash
	// Probes are the quarantined parts for which the sender has just let a request through; the others then let none through. Each
	// has Parts and At, and no upstream.
	Probes []Crash
	// Cleared are the parts that a first event or an answer has cleared. It says nothing of later crashes.
	Cleared []Clearing
}

// Clearing says that a request with a part reached its first event or was answered.
type Clearing struct {
	Part string
	At   time.Time
}

// List holds the suspected parts. Its methods may be called concurrently.
type List struct {
	// send passes a report to the other processes, and changed is called after this process began, renewed or lifted a
	// quarantine. They are called without mu held and must not block.
	send    func(Report)
	changed func()

	mu       sync.Mutex // guards the fields below
	suspects map[string]*suspect
	// identities is the number of suspects that are identities. It is also read without mu.
	identities atomic.Int64
	// expiredAt is when the expired suspects were last dropped.
	expiredAt time.Time
	// survivals has the time of the last first event of a request with a part. Crashes before it say nothing of the part.
	survivals map[string]time.Time
	// sweptAt is when the expired survivals were last dropped.
	sweptAt time.Time
}

// NewList returns an empty list.
func NewList() *List {
	return &List{send: func(Report) {}, changed: func() {}, suspects: make(map[string]*suspect), survivals: make(map[string]time.Time)}
}

// OnReport sets the function that passes reports to the other processes. It must be called before the list is used.
func (l *List) OnReport(send func(Report)) { l.send = send }

// OnChange sets the function that is called after this process began, renewed or lifted a quarantine. It must be called before the
// list is used.
func (l *List) OnChange(changed func()) { l.changed = changed }

// RecordCrash adds a crash that this process saw and returns the parts that are quarantined because of it.
func (l *List) RecordCrash(crash Crash) (quarantined []string) {
	if len(crash.Parts) == 0 {
		return nil
	}
	crash.Parts = lastParts(crash.Parts)
	seen := crash
	seen.seenHere = true
	quarantined = l.addCrashes([]Crash{seen}, crash.At)
	l.send(Report{Crashes: []Crash{crash}})
	if len(quarantined) > 0 {
		l.changed()
	}
	return quarantined
}

// lastParts returns the parts of a prompt that are considered.
func lastParts(parts []string) []string { return parts[max(0, len(parts)-maxParts):] }

// Apply adds the report of another process, received at now, and returns the parts that are quarantined because of it.
func (l *List) Apply(report Report, now time.Time) (quarantined []string) {
	for _, c := range report.Cleared {
		l.clear([]string{c.Part}, c.At)
	}
	l.addProbes(report.Probes)
	quarantined = l.addCrashes(report.Crashes, now)
	if l.sawCrashOf(quarantined) {
		l.changed()
	}
	return quarantined
}

// ClearedSince returns a report of the parts in the crashes of another process's report that were cleared since: the other process was not connected at
// that time, and would keep a quarantine that all others know to be lifted.
func (l *List) ClearedSince(report Report) Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	var since Report
	known := make(map[string]bool)
	for _, crash := range report.Crashes {
		for _, part := range crash.Parts {
			at, cleared := l.survivals[part]
			if cleared && !known[part] && !crash.At.After(at) && len(since.Cleared) < maxPartsPerCrash {
				known[part] = true
				since.Cleared = append(since.Cleared, Clearing{part, at})
			}
		}
	}
	return since
}

// sawCrashOf reports whether this process saw a crash for which one of the parts is quarantined. It then counts as one that began the
// quarantine: if two processes report the last crashes at the same moment, each learns of the quarantine from the other.
func (l *List) sawCrashOf(parts []string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.ContainsFunc(parts, func(part string) bool {
		s := l.suspects[part]
		return s != nil && slices.ContainsFunc(s.evidence, func(crash Crash) bool { return crash.seenHere })
	})
}

// addCrashes adds crashes that became known at now. Suspects expire only before, because the first crashes of a report may be older than
// suspicionTime and still be part of a quarantine.
func (l *List) addCrashes(crashes []Crash, now time.Time) (quarantined []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	for _, crash := range crashes {
		quarantined = append(quarantined, l.addCrash(crash)...)
	}
	// Room is made afterwards, so that no suspect is displaced between two of its crashes.
	identities := int(l.identities.Load())
	l.makeRoom(identities, maxIdentities, func(s *suspect) bool { return s.identity != "" })
	l.makeRoom(len(l.suspects)-identities, maxSuspects, func(s *suspect) bool { return s.identity == "" })
	return quarantined
}

func (l *List) addCrash(crash Crash) (quarantined []string) {
	for _, part := range crash.Parts {
		if !crash.At.After(l.survivals[part]) {
			continue
		}
		if l.suspect(part).add(crash) {
			quarantined = append(quarantined, part)
		}
	}
	return quarantined
}

// addProbes records that other processes let requests through.
func (l *List) addProbes(probes []Crash) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, probe := range probes {
		for _, part := range probe.Parts {
			if s := l.suspects[part]; s != nil && s.quarantined() {
				s.probeUntil = later(s.probeUntil, probe.At.Add(probeTime))
			}
		}
	}
}

// SuspectsRequests reports whether any identity is suspected. While none is, callers need not compute that of a request that is sent
// or answered.
func (l *List) SuspectsRequests() bool { return l.identities.Load() > 0 }

// RecordFirstEvent clears the parts of a request that was answered, or reached its first event, at now. It returns those that were
// suspected.
func (l *List) RecordFirstEvent(parts []string, now time.Time) (cleared []string) {
	if len(parts) == 0 {
		return nil
	}
	cleared, lifted := l.clear(lastParts(parts), now)
	if len(cleared) > 0 {
		report := Report{}
		for _, part := range cleared {
			report.Cleared = append(report.Cleared, Clearing{part, now})
		}
		l.send(report)
	}
	if lifted {
		l.changed()
	}
	return cleared
}

// clear clears parts of which a request was answered or reached its first event at at. It returns those that were suspected, and whether any was
// quarantined. Crashes after at still count.
func (l *List) clear(parts []string, at time.Time) (cleared []string, lifted bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, part := range parts {
		s := l.suspects[part]
		if s != nil || !isIdentity(part) { // there are too many identities to remember each
			l.addSurvival(part, at)
		}
		if s == nil || s.firstCrash().After(at) {
			continue
		}
		lifted = lifted || s.quarantined()
		l.remove(part, s)
		cleared = append(cleared, part)
		for _, crash := range slices.Concat(s.evidence, s.crashes) {
			if crash.At.After(at) {
				l.suspect(part).add(crash)
			}
		}
	}
	sound := slices.DeleteFunc(slices.Clone(cleared), func(part string) bool { return l.suspects[part] != nil })
	if len(sound) > 0 {
		for _, s := range l.suspects {
			s.clear(sound)
		}
	}
	return cleared, lifted
}

// addSurvival records a first event. If the memory is full, it drops those that have expired, or else any.
func (l *List) addSurvival(part string, at time.Time) {
	if _, ok := l.survivals[part]; !ok && len(l.survivals) >= maxSurvivals {
		l.makeRoomForSurvival(at)
	}
	l.survivals[part] = later(l.survivals[part], at)
}

func (l *List) makeRoomForSurvival(now time.Time) {
	if now.Sub(l.sweptAt) > sweepInterval {
		l.sweptAt = now
		maps.DeleteFunc(l.survivals, func(_ string, at time.Time) bool { return now.Sub(at) > suspicionTime })
	}
	for old := range l.survivals {
		if len(l.survivals) < maxSurvivals {
			return
		}
		delete(l.survivals, old)
	}
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
	if len(parts) == 0 {
		return Decision{}
	}
	decision, probed := l.decideLocked(parts, now, enter)
	if len(probed) > 0 {
		l.send(Report{Probes: []Crash{{Parts: probed, At: now}}})
	}
	return decision
}

// decideLocked also returns the parts for which the request is let through.
func (l *List) decideLocked(parts []string, now time.Time, enter bool) (decision Decision, probed []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	var due []*suspect
	for _, part := range parts {
		s := l.suspects[part]
		if s == nil || !s.quarantined() {
			continue
		}
		common := s.common()
		if !containsAll(parts, common) {
			continue
		}
		if until := later(l.blockedUntil(s), s.probeUntil); now.Before(until) {
			return Decision{Blocked: true, Parts: common, RetryAfter: until.Sub(now)}, nil
		}
		due, probed = append(due, s), append(probed, part)
	}
	if !enter {
		probed = nil
	}
	for _, s := range due {
		if enter {
			s.probeUntil = now.Add(probeTime)
		}
	}
	return Decision{Probe: len(due) > 0}, probed
}

// blockedUntil returns when the next request with a quarantined part is let through.
func (l *List) blockedUntil(s *suspect) time.Time {
	if s.identity == "" || s.blocks > 1 {
		return s.blockedUntil
	}
	for _, other := range l.suspects {
		if other != s && other.identity != "" && other.size() >= len(s.evidence) && other.explains(s) {
			return s.ambiguousUntil
		}
	}
	return s.blockedUntil
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
	return l.report(func(s *suspect) []Crash { return slices.Concat(s.evidence, s.crashes) })
}

// Quarantined returns a report of the quarantined parts alone, for the store.
func (l *List) Quarantined() Report {
	report := l.report(func(s *suspect) []Crash { return s.evidence })
	report.Crashes = report.Crashes[max(0, len(report.Crashes)-maxStoredCrashes):]
	return report
}

// report returns a report of the selected crashes of all suspects, each crash once, in the order of time.
func (l *List) report(selected func(*suspect) []Crash) Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	type source struct {
		upstream    string
		incarnation int64
		request     string
	}
	var report Report
	known := make(map[source]int) // indexes of report.Crashes
	for _, s := range l.suspects {
		for _, crash := range selected(s) {
			from := source{crash.Upstream, crash.Incarnation, crash.Request}
			if i, ok := known[from]; ok {
				report.Crashes[i].Parts = union(report.Crashes[i].Parts, crash.Parts)
				continue
			}
			crash.Parts = slices.Clone(crash.Parts)
			known[from] = len(report.Crashes)
			report.Crashes = append(report.Crashes, crash)
		}
	}
	slices.SortFunc(report.Crashes, func(a, b Crash) int { return a.At.Compare(b.At) })
	return report
}

// suspect returns the suspect for a part, and adds it if there is none.
func (l *List) suspect(part string) *suspect {
	if s := l.suspects[part]; s != nil {
		return s
	}
	s := new(suspect)
	if isIdentity(part) {
		s.identity = part
		l.identities.Add(1)
	}
	l.suspects[part] = s
	return s
}

func (l *List) remove(part string, s *suspect) {
	delete(l.suspects, part)
	if s.identity != "" {
		l.identities.Add(-1)
	}
}

// expire removes the suspects that have expired.
func (l *List) expire(now time.Time) {
	if now.Sub(l.expiredAt).Abs() < sweepInterval {
		return
	}
	l.expiredAt = now
	for part, s := range l.suspects {
		if s.expired(now) {
			l.remove(part, s)
		}
	}
}

// makeRoom removes some of the selected suspects if they are more than limit: of those that are not quarantined, if there are any, the
// ones whose last crash is the oldest, and of identities rather those with fewer crashes. It removes several at once, because it looks
// at all of them.
func (l *List) makeRoom(count, limit int, selected func(*suspect) bool) {
	if count <= limit {
		return
	}
	type entry struct {
		part    string
		suspect *suspect
	}
	var entries []entry
	removable := 0
	for part, s := range l.suspects {
		if selected(s) {
			entries = append(entries, entry{part, s})
		}
		if selected(s) && !s.quarantined() {
			removable++
		}
	}
	slices.SortFunc(entries, func(a, b entry) int { return a.suspect.compare(b.suspect) })
	excess := count - limit
	for _, e := range entries[:max(excess, min(removable, excess+limit/removedShare))] {
		l.remove(e.part, e.suspect)
	}
}
