package entry

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/admin"
	"github.com/fulmardoor/fulmardoor/internal/confsync"
	"github.com/fulmardoor/fulmardoor/internal/events"
	"github.com/fulmardoor/fulmardoor/internal/metrics"
	"github.com/fulmardoor/fulmardoor/internal/orders"
	"github.com/fulmardoor/fulmardoor/internal/settings"
	"github.com/fulmardoor/fulmardoor/internal/transport"
	"github.com/fulmardoor/fulmardoor/internal/verdict"
)

// drainFencingTimeout is the longest wait for the fencing number of a drain or return-to-service order.
const drainFencingTimeout = 2 * time.Second

// Document implements admin.Backend.
func (e *Entry) Document(ctx context.Context, team string) ([]byte, int64, error) {
	text, revision, err := e.conf.Read(ctx, team)
	return text, int64(revision), err
}

// Documents implements admin.Backend.
func (e *Entry) Documents() []admin.DocumentInfo {
	var list []admin.DocumentInfo
	for _, d := range e.conf.Current().Teams() {
		list = append(list, admin.DocumentInfo{Team: d.Team, Revision: d.GoodRevision})
	}
	return list
}

// Apply implements admin.Backend.
func (e *Entry) Apply(ctx context.Context, team string, text []byte, revision int64) (admin.ApplyReply, error) {
	outcome, err := e.conf.Apply(ctx, team, text, uint64(revision))
	if err != nil {
		return admin.ApplyReply{}, err
	}
	reply := admin.ApplyReply{Revision: int64(outcome.Revision)}
	switch outcome.Kind {
	case confsync.Accepted:
		reply.Outcome = admin.OutcomeAccepted
	case confsync.Rejected:
		reply.Outcome = admin.OutcomeRejected
		reply.Faults = documentFaults(outcome.Faults)
	case confsync.LostRace:
		reply.Outcome = admin.OutcomeLostRace
		reply.OtherText = string(outcome.Text)
	default:
		reply.Outcome = admin.OutcomeUnknown
		reply.Detail = "the key-value service did not confirm the write"
	}
	e.events.Record("document_applied", "", "", events.Field("team", team), events.Field("outcome", reply.Outcome),
		events.Field("revision", reply.Revision))
	return reply, nil
}

func documentFaults(faults *settings.Faults) []string {
	if faults == nil {
		return nil
	}
	return strings.Split(faults.Error(), "\n")
}

// Status implements admin.Backend.
func (e *Entry) Status() admin.Status {
	revision := e.conf.Current().Revision
	status := admin.Status{
		Process: e.hello.GetProcess(), Host: e.hello.GetHost(), DataCentre: e.hello.GetDataCentre(),
		Revision: revision, State: e.conf.State().String(),
	}
	status.WorstServed = accountShare(e.metrics.Accounts.LeastServed())
	status.LeastGranted = accountShare(e.metrics.Accounts.LeastGranted())
	for _, m := range e.members.all() {
		status.Nodes = append(status.Nodes, nodeStatus(m.label(), "entry", m.peer.Session(), revision))
	}
	for _, u := range e.upstreams.all() {
		if u.link.Load() == nil {
			continue // this process has no link to it; other entry processes may have one
		}
		status.Nodes = append(status.Nodes, nodeStatus(u.name, "sidecar", u.session(), revision))
	}
	slices.SortFunc(status.Nodes, func(a, b admin.NodeStatus) int {
		return cmp.Or(cmp.Compare(a.Role, b.Role), cmp.Compare(a.Process, b.Process))
	})
	for _, s := range e.ledger.Status() {
		status.Shards = append(status.Shards, admin.Shard{
			Shard: int(s.Shard), Owner: s.Owner, Successor: s.Successor, Epoch: s.Epoch, State: string(s.State),
		})
	}
	return status
}

// accountShare converts a share for the status page; nil if no account got less than it asked for.
func accountShare(share metrics.AccountShare) *admin.AccountShare {
	if share.Account == "" {
		return nil
	}
	return &admin.AccountShare{Account: share.Account, Ratio: share.Ratio}
}

func nodeStatus(name, role string, session *transport.Session, revision uint64) admin.NodeStatus {
	node := admin.NodeStatus{Process: name, Role: role}
	if session == nil {
		return node
	}
	beat, _ := session.Heartbeat()
	node.Connected = true
	node.DataCentre = session.Remote().GetDataCentre()
	node.Revision = beat.GetConfigRevision()
	node.InForce = node.Revision >= revision
	return node
}

// Upstreams implements admin.Backend.
func (e *Entry) Upstreams(team string) []admin.UpstreamStatus {
	var list []admin.UpstreamStatus
	for _, u := range e.upstreams.all() {
		if team != admin.AllTeams && e.upstreamTeam(u.name) != team {
			continue
		}
		list = append(list, upstreamStatus(u))
	}
	slices.SortFunc(list, func(a, b admin.UpstreamStatus) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// upstreamTeam returns the team whose document declares an upstream, or an empty string.
func (e *Entry) upstreamTeam(name string) string {
	for _, team := range e.conf.Current().Teams() {
		for _, u := range team.Document.GetUpstreams() {
			if u.GetName() == name {
				return team.Team
			}
		}
	}
	return ""
}

func upstreamStatus(u *upstream) admin.UpstreamStatus {
	status := admin.UpstreamStatus{Name: u.name, Pool: u.pool, Role: u.roleName, Leaving: u.leaving, LeavingDeclared: u.leaving,
		Linked: u.link.Load() != nil}
	session := u.session()
	if session == nil {
		return status
	}
	beat, _ := session.Heartbeat()
	load := beat.GetLoad()
	status.Connected = true
	status.DataCentre = session.Remote().GetDataCentre()
	status.Accepting = load.GetAccepting()
	status.Stalled = load.GetStalled()
	status.Leaving = status.Leaving || beat.GetLeaving()
	status.Places, status.Free, status.Waiting = load.GetPlaces(), load.GetPlacesFree(), load.GetWaiting()
	status.QueueMs, status.TokenGapMs = load.GetQueueMs(), load.GetTokenGapMs()
	status.Revision = beat.GetConfigRevision()
	return status
}

// fencingNumber issues the fencing number of an order. Drain and return-to-service orders must work while the store is down,
// so they are then sent without a number. If such an order arrives late, the worst effect is visible in the upstream's state,
// and another order undoes it.
func (e *Entry) fencingNumber(ctx context.Context, upstream string, order *wirev1.OrderRequest) (uint64, error) {
	floor := confsync.FirstRevision(confsync.HistoryOf(e.conf.Current().Revision))
	if order.GetEngine() != nil {
		return orders.IssueAbove(ctx, e.store, upstream, floor)
	}
	ctx, cancel := context.WithTimeout(ctx, drainFencingTimeout)
	defer cancel()
	number, err := orders.IssueAbove(ctx, e.store, upstream, floor)
	if err != nil {
		e.logger.Warn("order is sent without a fencing number", zap.String("upstream", upstream), zap.Error(err))
		return 0, nil
	}
	return number, nil
}

// Order implements admin.Backend.
func (e *Entry) Order(
	ctx context.Context, team, name string, order *wirev1.OrderRequest,
) (admin.OrderReply, error) {
	u := e.upstreams.get(name)
	if u == nil || (team != admin.AllTeams && e.upstreamTeam(name) != team) {
		return admin.OrderReply{}, errors.Wrap(admin.ErrNoUpstream, name)
	}
	e.upstreams.ensureLink(ctx, u)
	session := u.session()
	if session == nil {
		return admin.OrderReply{}, errors.Errorf("no connection to the sidecar of %s", name)
	}
	number, err := e.fencingNumber(ctx, name, order)
	if err != nil {
		return admin.OrderReply{}, errors.Wrap(err, "issue fencing number")
	}
	order.FencingNumber = number
	reply := new(wirev1.OrderReply)
	if err := session.Call(ctx, &wirev1.StreamOpen{Kind: &wirev1.StreamOpen_Order{Order: order}}, reply); err != nil {
		return admin.OrderReply{}, errors.Wrap(err, "send order; unknown whether it was carried out")
	}
	e.events.Record("order_sent", "", name, events.Field("fencing_number", number), events.Field("accepted", reply.GetAccepted()))
	return admin.OrderReply{
		Accepted: reply.GetAccepted(), FencingNumber: number,
		Reason: verdict.ReasonName(reply.GetReason()), Detail: reply.GetDetail(),
	}, nil
}
