package peering

import (
	"maps"
	"slices"
	"time"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/bounded"
	"github.com/fulmardoor/fulmardoor/internal/placement"
	"github.com/fulmardoor/fulmardoor/internal/transport"
	"github.com/fulmardoor/fulmardoor/internal/upstreamrate"
)

// link is what is exchanged on one session.
type link struct {
	session  *transport.Session
	process  string
	openedAt time.Time

	// theirs is what the other process wants of this one, and told what it was last told that this one wants. heard is set after
	// its first heartbeat.
	theirs, told wirev1.Link
	heard        bool
	// storeContact is set if the store answers the other process.
	storeContact bool
	// upstreamsCurrent is set if the other process is fit to read the list of upstreams for others.
	upstreamsCurrent bool
	// processes is the number of processes whose work the other end reports.
	processes int
	// chargesOfGroup says which totals of charges the other end sent last, and totals are these totals; charges has the sum of those that were
	// deducted, by account.
	chargesOfGroup  bool
	totals, charges map[string]float64

	// reported is the coverage of the last heartbeat that was sent, and pending the upstreams at which the work has changed since.
	reported wirev1.Coverage
	pending  map[string]bool
	// demandPending is set if the waiting demand has changed since the last heartbeat that was sent.
	demandPending bool
	// resend is set if the next heartbeat must have all work, and askResend if the other end must be asked to do the same.
	resend, askResend bool
	// chargesSent are the totals of charges that were sent last, ofAll says of which processes, and chargesSentAt when.
	chargesSent   map[string]float64
	ofAll         bool
	chargesSentAt time.Time
	// promptsSent is set once the other end has got what this process knows about prompts that crash engines.
	promptsSent bool
}

// coverage returns whose work this process reports on the link.
func (l *link) coverage() wirev1.Coverage {
	switch {
	case !l.heard:
		return wirev1.Coverage_COVERAGE_NONE
	case l.theirs == wirev1.Link_LINK_SUBSCRIBER:
		return wirev1.Coverage_COVERAGE_ALL
	case l.told == wirev1.Link_LINK_SUBSCRIBER, l.theirs == wirev1.Link_LINK_PEER && l.told == wirev1.Link_LINK_PEER:
		return wirev1.Coverage_COVERAGE_GROUP
	}
	return wirev1.Coverage_COVERAGE_NONE
}

// dirty reports whether there is something to report.
func (l *link) dirty() bool {
	return len(l.pending) > 0 || l.demandPending || l.resend || l.reported != l.coverage()
}

// linkLocked returns the newest link with a process; nil if it is not connected. m.mu must be held.
func (m *Mesh) linkLocked(process string) *link {
	var newest *link
	for _, l := range m.links {
		if l.process == process && (newest == nil || l.openedAt.After(newest.openedAt)) {
			newest = l
		}
	}
	return newest
}

// currentLocked returns the newest link with each process. m.mu must be held.
func (m *Mesh) currentLocked() map[string]*link {
	current := make(map[string]*link, len(m.links))
	for _, l := range m.links {
		if other := current[l.process]; other == nil || l.openedAt.After(other.openedAt) {
			current[l.process] = l
		}
	}
	return current
}

// wantsOf returns what this process wants of the other end of a link.
func (m *Mesh) wantsOf(l *link) wirev1.Link {
	switch {
	case l.process == m.plan.SubscribeTo:
		return wirev1.Link_LINK_SUBSCRIBER
	case m.plan.Relay && m.plan.Peers[l.process]:
		return wirev1.Link_LINK_PEER
	}
	return wirev1.Link_LINK_STANDBY
}

// knownLocked returns the number of processes whose work is known by other links than one, this process included. m.mu must be held.
func (m *Mesh) knownLocked(except *link) int {
	known := 1
	for _, l := range m.currentLocked() {
		if l != except {
			known += l.processes
		}
	}
	return known
}

// groupSizeLocked returns the number of this process and its subscribers. m.mu must be held.
func (m *Mesh) groupSizeLocked() int {
	size := 1
	for _, l := range m.currentLocked() {
		if l.theirs == wirev1.Link_LINK_SUBSCRIBER {
			size += l.processes
		}
	}
	return size
}

// buildHeartbeat returns the next heartbeat on a session.
func (m *Mesh) buildHeartbeat(session *transport.Session) *wirev1.Heartbeat {
	heartbeat := &wirev1.Heartbeat{ConfigRevision: uint64(m.options.Version()), StoreContact: m.options.StoreContact(), UpstreamsCurrent: m.options.UpstreamsCurrent()}
	limits := m.options.Limits.Recent(time.Now()) // not under m.mu, because Limits calls this mesh under its own mutex
	m.mu.Lock()
	defer m.mu.Unlock()
	l := m.links[session]
	if l == nil { // the session has ended
		return heartbeat
	}
	l.told = m.wantsOf(l)
	heartbeat.Link, heartbeat.Coverage = l.told, l.coverage()
	heartbeat.Resend, l.askResend = l.askResend, false
	m.addWorkLocked(l, heartbeat)
	m.addDemandLocked(l, heartbeat)
	m.addChargesLocked(l, heartbeat)
	m.addLimitsLocked(l, limits, heartbeat)
	m.sendKnownPromptsLocked(l)
	return heartbeat
}

// addWorkLocked adds the work that a link has to report. m.mu must be held.
func (m *Mesh) addWorkLocked(l *link, heartbeat *wirev1.Heartbeat) {
	// Changes of this process's own work that the next flush would mark are covered by the values read here.
	coverage := l.coverage()
	all := l.resend || coverage != l.reported
	upstreams := slices.Collect(maps.Keys(l.pending))
	if all {
		upstreams = m.options.Board.Busy()
	}
	l.reported, l.resend = coverage, false
	clear(l.pending)
	heartbeat.WorkChanges = !all
	switch coverage {
	case wirev1.Coverage_COVERAGE_NONE:
		return
	case wirev1.Coverage_COVERAGE_GROUP:
		heartbeat.Processes = uint32(m.groupSizeLocked())
	case wirev1.Coverage_COVERAGE_ALL:
		heartbeat.Processes = uint32(m.knownLocked(l))
	}
	work := m.options.Board.Work(upstreams, m.sourcesLocked(l))
	for id, share := range work {
		if all && share == (placement.Share{}) {
			continue
		}
		heartbeat.Work = append(heartbeat.Work, &wirev1.UpstreamWork{
			Upstream: id, Running: uint32(share.Running), Reading: uint32(share.Prefills),
			ReadTokens: uint64(share.PrefillTokens), MemoryTokens: uint64(share.Memory),
		})
	}
}

// sourcesLocked returns a function that says which sources the heartbeats on a link cover. m.mu must be held until its last call.
func (m *Mesh) sourcesLocked(l *link) func(source string) bool {
	current := m.currentLocked()
	return func(source string) bool {
		from := current[source]
		if from == nil { // a lost relay whose reports are still used
			return l.coverage() == wirev1.Coverage_COVERAGE_ALL && source != l.process
		}
		return m.reports(l, from)
	}
}

// addChargesLocked adds the charges to accounts, if they are due. m.mu must be held.
func (m *Mesh) addChargesLocked(l *link, heartbeat *wirev1.Heartbeat) {
	if time.Since(l.chargesSentAt) < chargesInterval || !l.heard {
		return
	}
	l.chargesSentAt = time.Now()
	totals := m.options.Limiter.Spent()
	addAmounts(totals, m.subscriberCharges, 1)
	ofAll := l.coverage() == wirev1.Coverage_COVERAGE_ALL
	if ofAll {
		addAmounts(totals, m.otherCharges, 1)
		addAmounts(totals, l.charges, -1)
	}
	heartbeat.HasAccountCharges, heartbeat.ChargesOfGroup = true, !ofAll
	for account, total := range totals {
		if sent, ok := l.chargesSent[account]; !ok || sent != total || l.ofAll != ofAll {
			heartbeat.AccountCharges = append(heartbeat.AccountCharges, &wirev1.AccountCharges{Account: account, Total: max(0, total)})
		}
	}
	l.chargesSent, l.ofAll = totals, ofAll
}

func addAmounts(to, amounts map[string]float64, sign float64) {
	for account, amount := range amounts {
		to[account] += sign * amount
	}
}

// addLimitsLocked adds what upstreams said recently about their limits. m.mu must be held.
func (m *Mesh) addLimitsLocked(l *link, limits []upstreamrate.Limit, heartbeat *wirev1.Heartbeat) {
	now := time.Now()
	for _, limit := range limits {
		var from *link
		if limit.Source != "" {
			from = &link{process: limit.Source}
			if current := m.linkLocked(limit.Source); current != nil {
				from = current
			}
		}
		if m.reports(l, from) {
			heartbeat.UpstreamLimits = append(heartbeat.UpstreamLimits, limit.Message(now))
		}
	}
}

func (m *Mesh) onHeartbeat(session *transport.Session, heartbeat *wirev1.Heartbeat) {
	process := session.Remote().GetProcess()
	if version := int64(heartbeat.GetConfigRevision()); version > m.options.Version() {
		m.options.OnNewerVersion(process, version)
	}
	m.applyLimits(session, heartbeat.GetUpstreamLimits())
	if m.applyHeartbeat(session, heartbeat) {
		m.options.OnStoreRegained() // not under m.mu, because the followers of the store call this mesh
	}
}

// applyHeartbeat records what a heartbeat says. It reports whether the store answers the other process again.
func (m *Mesh) applyHeartbeat(session *transport.Session, heartbeat *wirev1.Heartbeat) (storeRegained bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := m.links[session]
	if l == nil || l != m.linkLocked(session.Remote().GetProcess()) {
		return false
	}
	storeRegained = l.heard && !l.storeContact && heartbeat.GetStoreContact()
	l.storeContact, l.upstreamsCurrent = heartbeat.GetStoreContact(), heartbeat.GetUpstreamsCurrent()
	before := l.coverage()
	theirsBefore, processesBefore := l.theirs, l.processes
	l.heard, l.theirs = true, heartbeat.GetLink()
	l.processes = 0
	if heartbeat.GetCoverage() != wirev1.Coverage_COVERAGE_NONE {
		l.processes = min(int(heartbeat.GetProcesses()), max(1, len(m.members)))
	}
	l.resend = l.resend || heartbeat.GetResend()
	if theirsBefore != l.theirs {
		// What this process reports of its group to the other relays changes with its subscribers.
		m.resendGroupLocked()
	}
	m.applyChargesLocked(l, heartbeat)
	m.applyWorkLocked(l, heartbeat)
	m.applyDemandLocked(l, heartbeat)
	if l.processes != processesBefore {
		m.updateKnownLocked()
	}
	if l.coverage() != before || l.resend {
		session.TriggerHeartbeat()
	}
	m.sendKnownPromptsLocked(l)
	return storeRegained
}

// resendGroupLocked makes the next heartbeats to other relays have all work. m.mu must be held.
func (m *Mesh) resendGroupLocked() {
	for _, l := range m.links {
		if l.coverage() == wirev1.Coverage_COVERAGE_GROUP {
			l.resend = true
		}
	}
	m.NotifyWorkChanged()
}

// applyWorkLocked records the work that a heartbeat reports. m.mu must be held.
func (m *Mesh) applyWorkLocked(l *link, heartbeat *wirev1.Heartbeat) {
	shares := make(map[string]placement.Share, len(heartbeat.GetWork()))
	for _, work := range heartbeat.GetWork() {
		shares[work.GetUpstream()] = placement.Share{
			Running: bounded.Count(work.GetRunning()), Prefills: bounded.Count(work.GetReading()),
			PrefillTokens: bounded.Count(work.GetReadTokens()), Memory: bounded.Count(work.GetMemoryTokens()),
		}
	}
	if heartbeat.GetWorkChanges() && len(shares) == 0 {
		return
	}
	var changed []string
	if heartbeat.GetWorkChanges() {
		changed = m.options.Board.UpdateOthers(l.process, shares)
	} else {
		changed = m.options.Board.SetOthers(l.process, shares)
		delete(m.expiring, l.process)
		if heartbeat.GetCoverage() == wirev1.Coverage_COVERAGE_ALL && l.told == wirev1.Link_LINK_SUBSCRIBER {
			for source := range m.expiring { // the new relay reports what the lost one did
				m.dropSourceLocked(source)
			}
		}
	}
	if len(changed) > 0 {
		m.markLocked(changed, l)
		if m.anyDirtyLocked() {
			m.NotifyWorkChanged()
		}
	}
}

func (m *Mesh) anyDirtyLocked() bool {
	for _, l := range m.links {
		if l.dirty() {
			return true
		}
	}
	return false
}

// applyChargesLocked deducts the charges that a heartbeat reports. m.mu must be held.
func (m *Mesh) applyChargesLocked(l *link, heartbeat *wirev1.Heartbeat) {
	if !heartbeat.GetHasAccountCharges() {
		return
	}
	changes, ok := spentOf(heartbeat.GetAccountCharges())
	if !ok {
		return
	}
	if l.chargesOfGroup != heartbeat.GetChargesOfGroup() { // totals of more or fewer processes than before
		l.chargesOfGroup, l.totals = heartbeat.GetChargesOfGroup(), nil
		m.options.Limiter.SetOthers(l.process, nil)
	}
	totals := maps.Clone(l.totals)
	if totals == nil {
		totals = make(map[string]float64)
	}
	maps.Copy(totals, changes)
	l.totals = totals
	deducted := m.options.Limiter.SetGroup(l.process, l.processes, totals)
	addAmounts(l.charges, deducted, 1)
	if l.theirs == wirev1.Link_LINK_SUBSCRIBER {
		addAmounts(m.subscriberCharges, deducted, 1)
	} else {
		addAmounts(m.otherCharges, deducted, 1)
	}
}

// spentOf returns the total charges by account; ok is false if one is not an amount. All of the heartbeat are ignored then.
func spentOf(charges []*wirev1.AccountCharges) (spent map[string]float64, ok bool) {
	spent = make(map[string]float64, len(charges))
	for _, charge := range charges {
		total := charge.GetTotal()
		if !(total >= 0) || total > bounded.MaxExact {
			return nil, false
		}
		spent[charge.GetAccount()] = total
	}
	return spent, true
}
