package entry

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/confsync"
	"github.com/fulmardoor/fulmardoor/internal/confsync/wirepeer"
	"github.com/fulmardoor/fulmardoor/internal/hostlist"
	"github.com/fulmardoor/fulmardoor/internal/transport"
	"github.com/fulmardoor/fulmardoor/internal/verdict"
	"github.com/fulmardoor/fulmardoor/internal/wait"
)

const (
	hostListInterval = 5 * time.Second
	// memberExpiry is the time without a session after which an entry process that the host list no longer names is removed
	// from the member table.
	memberExpiry = 2 * time.Minute
)

// member is another entry process.
type member struct {
	address string
	peer    *transport.Peer
	// name and dataCentre are empty until the first session.
	name       string
	dataCentre string
	lastSeen   time.Time
	configured bool // listed in the settings
	listed     bool // listed in the newest host list
	wasListed  bool // listed in the newest or an earlier host list
}

// memberTable maintains a session to each other entry process.
type memberTable struct {
	self      *wirev1.Hello
	connector transport.Connector
	opts      *transport.Options
	logger    *zap.Logger

	mu        sync.Mutex // guards the fields below and the members
	byAddress map[string]*member
	// removedProcesses holds the names of processes that were removed from the host list and have had no session since.
	removedProcesses map[string]bool
}

func newMemberTable(
	self *wirev1.Hello, connector transport.Connector, opts *transport.Options, logger *zap.Logger,
) *memberTable {
	return &memberTable{
		self: self, connector: connector, opts: opts, logger: logger,
		byAddress: make(map[string]*member), removedProcesses: make(map[string]bool),
	}
}

// start connects to the processes that the settings list. Their streams and heartbeats may arrive from then on.
func (t *memberTable) start(addresses string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for address := range strings.SplitSeq(addresses, ",") {
		if address = strings.TrimSpace(address); address != "" && address != t.self.GetAddress() {
			t.byAddress[address] = t.connect(address, true)
		}
	}
}

func (t *memberTable) connect(address string, configured bool) *member {
	return &member{
		address: address, peer: transport.NewPeer(address, t.connector, t.opts), configured: configured, lastSeen: time.Now(),
	}
}

// run polls the platform's host list until ctx ends. The list only adds and removes candidates; a process counts as alive
// while there is a session with it.
func (t *memberTable) run(ctx context.Context, source hostlist.Source) {
	problem := "" // of the last list
	for source != nil && wait.For(ctx, hostListInterval) {
		hosts, err := source.Hosts(ctx)
		switch {
		case errors.Is(err, hostlist.ErrIncomplete):
			if err.Error() != problem {
				t.logger.Warn("the host list is incomplete", zap.String("error", err.Error()))
			}
			t.addHosts(hosts)
		case err != nil:
			t.logger.Debug("failed to read the host list", zap.Error(err))
			continue
		default:
			t.applyHostList(hosts)
		}
		problem = ""
		if err != nil {
			problem = err.Error()
		}
	}
}

// addHosts adds the processes of an incomplete host list. It removes none: one that is missing may be in a row that could not be read.
func (t *memberTable) addHosts(hosts []hostlist.Host) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addHostsLocked(hosts)
}

func (t *memberTable) addHostsLocked(hosts []hostlist.Host) {
	for _, host := range hosts {
		if host.Role != "entry" || host.Address == t.self.GetAddress() {
			continue
		}
		if t.byAddress[host.Address] == nil {
			t.byAddress[host.Address] = t.connect(host.Address, false)
		}
		t.byAddress[host.Address].listed = true
		t.byAddress[host.Address].wasListed = true
	}
}

func (t *memberTable) applyHostList(hosts []hostlist.Host) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range t.byAddress {
		m.listed = false
	}
	t.addHostsLocked(hosts)
	for address, m := range t.byAddress {
		if m.wasListed && !m.listed && m.name != "" && m.peer.Session() == nil {
			t.removedProcesses[m.name] = true
		}
		expired := !m.configured && !m.listed && m.peer.Session() == nil && time.Since(m.lastSeen) > memberExpiry
		if expired {
			delete(t.byAddress, address)
			go m.peer.Close()
		}
	}
}

// onSessionOpen stores the name and data centre of the process at the other end of a session.
func (t *memberTable) onSessionOpen(session *transport.Session) {
	remote := session.Remote()
	t.mu.Lock()
	defer t.mu.Unlock()
	if m := t.byAddress[remote.GetAddress()]; m != nil {
		m.name, m.dataCentre, m.lastSeen = remote.GetProcess(), remote.GetDataCentre(), time.Now()
	}
	delete(t.removedProcesses, remote.GetProcess())
}

// removedByPlatform reports whether a process was removed from the host list. A missing session alone is no proof that the
// process is down, because the network may be partitioned.
func (t *memberTable) removedByPlatform(process string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.removedProcesses[process]
}

// connected returns copies of the members with a live session.
func (t *memberTable) connected() []member {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []member
	for _, m := range t.byAddress {
		if m.name != "" && m.peer.Session() != nil {
			m.lastSeen = time.Now()
			list = append(list, *m)
		}
	}
	return list
}

// all returns copies of every known member, alive or not.
func (t *memberTable) all() []member {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]member, 0, len(t.byAddress))
	for _, m := range t.byAddress {
		list = append(list, *m)
	}
	return list
}

// label returns the name of a member for operators: its process name, or its address before the first session.
func (m member) label() string {
	if m.name != "" {
		return m.name
	}
	return m.address
}

// close ends all sessions.
func (t *memberTable) close() {
	for _, m := range t.all() {
		m.peer.Close()
	}
}

// ledgerMembers adapts the table to the ledger: the names of this process and of those with a live session.
type ledgerMembers struct{ table *memberTable }

// Entries implements ledger.Members.
func (l ledgerMembers) Entries() []string {
	names := []string{l.table.self.GetProcess()}
	for _, m := range l.table.connected() {
		names = append(names, m.name)
	}
	sort.Strings(names)
	return names
}

// Call implements ledger.Network.
func (t *memberTable) Call(ctx context.Context, process string, open *wirev1.StreamOpen, reply proto.Message) error {
	for _, m := range t.connected() {
		if m.name != process {
			continue
		}
		if session := m.peer.Session(); session != nil {
			return session.Call(ctx, open, reply)
		}
	}
	return verdict.Refuse(wirev1.Reason_REASON_LEDGER_UNAVAILABLE, "no session with %s", process)
}

// configMembers adapts the table to confsync: this process and every known entry process, alive or not.
type configMembers struct{ table *memberTable }

// Entries implements confsync.Members.
func (c configMembers) Entries() []confsync.Member {
	t := c.table
	list := []confsync.Member{{Process: t.self.GetProcess(), DataCentre: t.self.GetDataCentre()}}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range t.byAddress {
		name := m.name
		if name == "" {
			name = m.address
		}
		list = append(list, confsync.Member{Process: name, DataCentre: m.dataCentre})
	}
	return list
}

// configPeers lists the processes that configuration is pushed to: entries first, then sidecars.
type configPeers struct {
	table     *memberTable
	upstreams *upstreamPool
}

// Peers implements confsync.Peers.
func (c configPeers) Peers() []confsync.Peer {
	var peers []confsync.Peer
	for _, m := range c.table.connected() {
		if session := m.peer.Session(); session != nil {
			peers = append(peers, wirepeer.New(session))
		}
	}
	for _, u := range c.upstreams.all() {
		if session := u.session(); session != nil {
			peers = append(peers, wirepeer.New(session))
		}
	}
	return peers
}
