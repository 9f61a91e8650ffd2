// Package admin is the administration API: documents, keys, drain and return, live state and the event timeline.
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

// HeaderRevision carries the revision of a document.
const HeaderRevision = "Fulmardoor-Revision"

// Outcome names of an apply.
const (
	OutcomeAccepted = "accepted"
	OutcomeRejected = "rejected"
	OutcomeLostRace = "lost_race"
	OutcomeUnknown  = "unknown"
)

// DocumentInfo is one row of the document list.
type DocumentInfo struct {
	Team     string `json:"team"`
	Revision uint64 `json:"revision"`
}

// ApplyReply tells what became of a new version of a document.
type ApplyReply struct {
	Outcome string `json:"outcome"`
	// Revision of the accepted version, or of the one that won the race.
	Revision int64 `json:"revision,omitempty"`
	// Faults of a rejected document, one line each.
	Faults []string `json:"faults,omitempty"`
	// OtherText is the version that won the race.
	OtherText string `json:"other_text,omitempty"`
	Detail    string `json:"detail,omitempty"`
}

// Status is the live state of one entry process and of what it hears from others.
type Status struct {
	Process    string       `json:"process"`
	Host       string       `json:"host"`
	DataCentre string       `json:"data_centre"`
	Revision   uint64       `json:"revision"`
	State      string       `json:"configuration_state"`
	Nodes      []NodeStatus `json:"nodes"`
	Shards     []Shard      `json:"ledger_shards"`
	// WorstServed and LeastGranted are the accounts with the least shares in the last minute at the answering entry.
	// Only operators of all teams see them.
	WorstServed  *AccountShare `json:"worst_served_account,omitempty"`
	LeastGranted *AccountShare `json:"least_granted_account,omitempty"`
}

// AccountShare is the share of one client account.
type AccountShare struct {
	Account string  `json:"account"`
	Ratio   float64 `json:"ratio"`
}

// NodeStatus is a process as the answering entry hears it.
type NodeStatus struct {
	Process    string `json:"process"`
	Role       string `json:"role"`
	DataCentre string `json:"data_centre"`
	Connected  bool   `json:"connected"`
	Revision   uint64 `json:"revision"`
	// InForce is set if the node has at least the answering entry's revision.
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
	// Declared is set if the document declares the upstream leaving.
	Declared   bool    `json:"leaving_in_document"`
	Places     uint32  `json:"places"`
	Free       uint32  `json:"free"`
	Waiting    uint32  `json:"waiting"`
	QueueMs    uint32  `json:"queue_ms"`
	TokenGapMs float64 `json:"token_gap_ms"`
	Revision   uint64  `json:"revision"`
}

// OrderReply tells what became of an order to an upstream.
type OrderReply struct {
	Accepted      bool   `json:"accepted"`
	FencingNumber uint64 `json:"fencing_number"`
	Reason        string `json:"reason,omitempty"`
	Detail        string `json:"detail,omitempty"`
}

// EngineOrder is the body of an engine order.
type EngineOrder struct {
	LoadModel   string `json:"load_model,omitempty"`
	Version     string `json:"version,omitempty"`
	LoadAdapter string `json:"load_adapter,omitempty"`
	// ChangeRole is prefill or decode.
	ChangeRole string `json:"change_role,omitempty"`
}

// ErrNoUpstream means that the operator's team has no upstream of the name.
var ErrNoUpstream = errors.New("your team has no upstream of this name")

// ErrorReply is the body of a failed request.
type ErrorReply struct {
	Error string `json:"error"`
}

// Backend is what the API needs of the process that serves it.
type Backend interface {
	// Document returns the text of a team's document in the store and its revision; revision 0 if there is none.
	Document(ctx context.Context, team string) (text []byte, revision int64, err error)
	// Documents lists the documents in force.
	Documents() []DocumentInfo
	// Apply writes a new version if the store's is still at a revision.
	Apply(ctx context.Context, team string, text []byte, revision int64) (ApplyReply, error)
	// Status returns the live state.
	Status() Status
	// Upstreams returns the live state of the upstreams of a team, of all teams for "*".
	Upstreams(team string) []UpstreamStatus
	// Order sends an order with a new fencing number to an upstream of a team. Errors: ErrNoUpstream and others.
	Order(ctx context.Context, team, upstream string, order *wirev1.OrderRequest) (OrderReply, error)
	// CollectEvents asks all connected processes and merges what they have.
	CollectEvents(ctx context.Context, query *wirev1.EventQuery) []*wirev1.Event
}

// requestTimeout limits one request of the API.
const requestTimeout = 15 * time.Second
