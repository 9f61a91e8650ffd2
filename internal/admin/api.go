// Package admin implements the administration API, its server and its client: operators read and apply documents, drain
// upstreams and return them to service, and query the live state and the event timeline.
package admin

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
)

// Paths of the API.
const (
	PathDocuments = "/api/v1/documents"
	PathStatus    = "/api/v1/status"
	PathUpstreams = "/api/v1/upstreams"
	PathEvents    = "/api/v1/events"
)

// HeaderRevision is the response header with the revision of a document.
const HeaderRevision = "Fulmardoor-Revision"

// Outcomes of an apply.
const (
	OutcomeAccepted = "accepted"
	OutcomeRejected = "rejected"
	OutcomeLostRace = "lost_race"
	OutcomeUnknown  = "unknown"
)

// DocumentInfo is an element of the document list.
type DocumentInfo struct {
	Team     string `json:"team"`
	Revision uint64 `json:"revision"`
}

// ApplyReply is the response to an apply of a new version of a document.
type ApplyReply struct {
	Outcome string `json:"outcome"`
	// Revision is the revision of the accepted version or, after OutcomeLostRace, of the version in the store.
	Revision int64 `json:"revision,omitempty"`
	// Faults lists the faults of a rejected document, one line each.
	Faults []string `json:"faults,omitempty"`
	// OtherText is the version in the store after OutcomeLostRace: another apply changed the document first.
	OtherText string `json:"other_text,omitempty"`
	Detail    string `json:"detail,omitempty"`
}

// Status is the live state of one entry process, with the state of other processes as reported to it.
type Status struct {
	Process    string       `json:"process"`
	Host       string       `json:"host"`
	DataCentre string       `json:"data_centre"`
	Revision   uint64       `json:"revision"`
	State      string       `json:"configuration_state"`
	Nodes      []NodeStatus `json:"nodes"`
	Shards     []Shard      `json:"ledger_shards"`
	// WorstServed is the account with the lowest ratio of tokens of requests that got a complete response to tokens of
	// all its ended requests within rate. LeastGranted is the account with the lowest ratio of granted to requested
	// tokens. Both are measured by the responding entry over the last minute. Operators of a single team do not see them.
	WorstServed  *AccountShare `json:"worst_served_account,omitempty"`
	LeastGranted *AccountShare `json:"least_granted_account,omitempty"`
}

// AccountShare is the ratio of one client account, see Status.
type AccountShare struct {
	Account string  `json:"account"`
	Ratio   float64 `json:"ratio"`
}

// NodeStatus is the state of a process as known to the responding entry.
type NodeStatus struct {
	Process    string `json:"process"`
	Role       string `json:"role"`
	DataCentre string `json:"data_centre"`
	Connected  bool   `json:"connected"`
	Revision   uint64 `json:"revision"`
	// InForce is set if the process has at least the configuration revision of the responding entry.
	InForce bool `json:"in_force"`
}

// Shard is the ownership of one ledger shard.
type Shard struct {
	Shard     int    `json:"shard"`
	Owner     string `json:"owner"`
	Successor string `json:"successor"`
	Epoch     uint64 `json:"epoch"`
	State     string `json:"state"`
}

// UpstreamStatus is the live state of one upstream.
type UpstreamStatus struct {
	Name       string `json:"name"`
	Pool       string `json:"pool"`
	Role       string `json:"role"`
	DataCentre string `json:"data_centre"`
	Connected  bool   `json:"connected"`
	Accepting  bool   `json:"accepting"`
	Stalled    bool   `json:"stalled"`
	Leaving    bool   `json:"leaving"`
	// Linked is set if the responding process keeps a session to the upstream's sidecar. Each entry keeps sessions to a
	// subset of the sidecars only.
	Linked bool `json:"linked"`
	// LeavingDeclared is set if the document declares the upstream's state as leaving.
	LeavingDeclared bool    `json:"leaving_in_document"`
	Places          uint32  `json:"places"`
	Free            uint32  `json:"free"`
	Waiting         uint32  `json:"waiting"`
	QueueMs         uint32  `json:"queue_ms"`
	TokenGapMs      float64 `json:"token_gap_ms"`
	Revision        uint64  `json:"revision"`
}

// OrderReply is the response to an order to an upstream.
type OrderReply struct {
	Accepted      bool   `json:"accepted"`
	FencingNumber uint64 `json:"fencing_number"`
	Reason        string `json:"reason,omitempty"`
	Detail        string `json:"detail,omitempty"`
}

// EngineOrder is the request body of an engine order.
type EngineOrder struct {
	LoadModel   string `json:"load_model,omitempty"`
	Version     string `json:"version,omitempty"`
	LoadAdapter string `json:"load_adapter,omitempty"`
	// ChangeRole is the new role, prefill or decode; empty for no change.
	ChangeRole string `json:"change_role,omitempty"`
}

// ErrNoUpstream means that the operator's team has no upstream with the given name.
var ErrNoUpstream = errors.New("your team has no upstream with this name")

// ErrorReply is the response body of a failed request.
type ErrorReply struct {
	Error string `json:"error"`
}

// Backend gives the API access to the process that serves it.
type Backend interface {
	// Document returns the text and revision of a team's document in the store, or revision 0 if there is none.
	Document(ctx context.Context, team string) (text []byte, revision int64, err error)
	// Documents lists the documents in force.
	Documents() []DocumentInfo
	// Apply writes a new version if the revision in the store is still the given one.
	Apply(ctx context.Context, team string, text []byte, revision int64) (ApplyReply, error)
	// Status returns the live state.
	Status() Status
	// Upstreams returns the live state of the upstreams of a team, or of all teams if team is AllTeams.
	Upstreams(team string) []UpstreamStatus
	// Order sends an order with a new fencing number to an upstream of a team. It returns ErrNoUpstream if the team has no
	// such upstream.
	Order(ctx context.Context, team, upstream string, order *wirev1.OrderRequest) (OrderReply, error)
	// CollectEvents queries all connected processes and returns the merged events.
	CollectEvents(ctx context.Context, query *wirev1.EventQuery) []*wirev1.Event
}

// requestTimeout limits one API request, in the client and in the server.
const requestTimeout = 15 * time.Second
