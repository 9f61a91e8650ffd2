// Package etcdwire defines the messages of the etcd v3 JSON gateway that the HTTP client and the platform stand-in use.
// Byte strings are base64 and 64-bit integers are JSON strings, as in the protobuf JSON mapping.
package etcdwire

// Paths of the gateway.
const (
	PathRange          = "/v3/kv/range"
	PathTxn            = "/v3/kv/txn"
	PathWatch          = "/v3/watch"
	PathLeaseGrant     = "/v3/lease/grant"
	PathLeaseKeepAlive = "/v3/lease/keepalive"
	PathLeaseRevoke    = "/v3/lease/revoke"
)

// Names of enumeration values.
const (
	CompareEqual = "EQUAL"
	TargetMod    = "MOD"
	EventDelete  = "DELETE"
)

// gRPC codes in error bodies.
const (
	CodeInvalidArgument   = 3
	CodeNotFound          = 5
	CodeResourceExhausted = 8
	CodeOutOfRange        = 11
	CodeUnimplemented     = 12
	CodeInternal          = 13
	CodeUnavailable       = 14
)

// Error messages of etcd from which the outcome of a call is known.
const (
	MessageLeaseNotFound   = "etcdserver: requested lease not found"
	MessageNoLeader        = "etcdserver: no leader"
	MessageTooManyRequests = "etcdserver: too many requests"
	MessageTooLarge        = "etcdserver: request is too large"
	MessageCompacted       = "etcdserver: mvcc: required revision has been compacted"
	MessageFutureRevision  = "etcdserver: mvcc: required revision is a future revision"
)

// Error is the body of an error response.
type Error struct {
	Code    int    `json:"code"`
	Message string `json:"message"`
}

// Header is part of every response.
type Header struct {
	Revision int64 `json:"revision,omitempty,string"`
}

// KeyValue is a key with its value.
type KeyValue struct {
	Key         []byte `json:"key,omitempty"`
	Value       []byte `json:"value,omitempty"`
	ModRevision int64  `json:"mod_revision,omitempty,string"`
	Lease       int64  `json:"lease,omitempty,string"`
}

// RangeRequest reads the keys from Key to RangeEnd (exclusive), or only Key if RangeEnd is empty.
type RangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
	// Revision is that of the store at which the keys are read; 0 for the current one.
	Revision int64 `json:"revision,omitempty,string"`
}

// RangeResponse is the response to a RangeRequest.
type RangeResponse struct {
	Header Header     `json:"header"`
	KVs    []KeyValue `json:"kvs,omitempty"`
	Count  int64      `json:"count,omitempty,string"`
}

// Compare is a condition of a transaction.
type Compare struct {
	Result      string `json:"result"`
	Target      string `json:"target"`
	Key         []byte `json:"key"`
	ModRevision int64  `json:"mod_revision,string"`
}

// PutRequest writes a key.
type PutRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value,omitempty"`
	Lease int64  `json:"lease,omitempty,string"`
}

// DeleteRangeRequest deletes the keys from Key to RangeEnd (exclusive), or only Key if RangeEnd is empty.
type DeleteRangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

// RequestOp is one operation of a transaction; exactly one field is set.
type RequestOp struct {
	Put         *PutRequest         `json:"request_put,omitempty"`
	DeleteRange *DeleteRangeRequest `json:"request_delete_range,omitempty"`
}

// TxnRequest runs the operations in Success if all conditions in Compare hold, otherwise those in Failure.
type TxnRequest struct {
	Compare []Compare   `json:"compare"`
	Success []RequestOp `json:"success"`
	Failure []RequestOp `json:"failure,omitempty"`
}

// TxnResponse is the response to a TxnRequest.
type TxnResponse struct {
	Header    Header `json:"header"`
	Succeeded bool   `json:"succeeded,omitempty"`
}

// LeaseGrantRequest creates a lease. TTL is in seconds.
type LeaseGrantRequest struct {
	TTL int64 `json:"TTL,string"`
}

// LeaseGrantResponse is the response to a LeaseGrantRequest.
type LeaseGrantResponse struct {
	Header Header `json:"header"`
	ID     int64  `json:"ID,omitempty,string"`
	TTL    int64  `json:"TTL,omitempty,string"`
}

// LeaseRequest renews or revokes a lease.
type LeaseRequest struct {
	ID int64 `json:"ID,string"`
}

// LeaseKeepAliveResponse is the response to a renewal. TTL is in seconds; 0 means that the lease does not exist.
type LeaseKeepAliveResponse struct {
	Header Header `json:"header"`
	ID     int64  `json:"ID,omitempty,string"`
	TTL    int64  `json:"TTL,omitempty,string"`
}

// LeaseRevokeResponse is the response to a revocation.
type LeaseRevokeResponse struct {
	Header Header `json:"header"`
}

// WatchCreateRequest starts a watch.
type WatchCreateRequest struct {
	Key            []byte `json:"key"`
	RangeEnd       []byte `json:"range_end,omitempty"`
	StartRevision  int64  `json:"start_revision,omitempty,string"`
	ProgressNotify bool   `json:"progress_notify,omitempty"`
}

// WatchRequest is the body of a watch call.
type WatchRequest struct {
	Create *WatchCreateRequest `json:"create_request,omitempty"`
}

// Event is a change of one key. An empty Type means a put.
type Event struct {
	Type string   `json:"type,omitempty"`
	KV   KeyValue `json:"kv"`
}

// WatchResponse is one message of a watch. Without events it is a progress notification, unless Created or Canceled is
// set.
type WatchResponse struct {
	Header          Header  `json:"header"`
	Created         bool    `json:"created,omitempty"`
	Canceled        bool    `json:"canceled,omitempty"`
	CompactRevision int64   `json:"compact_revision,omitempty,string"`
	CancelReason    string  `json:"cancel_reason,omitempty"`
	Events          []Event `json:"events,omitempty"`
}

// Streamed is the envelope of each message of a streaming call.
type Streamed[T any] struct {
	Result *T     `json:"result,omitempty"`
	Error  *Error `json:"error,omitempty"`
}

// PrefixRange returns the range of all keys with a prefix. As in etcd, an end of one zero byte means no upper limit.
func PrefixRange(prefix string) (key, end []byte) {
	if prefix == "" {
		return []byte{0}, []byte{0}
	}
	end = []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return []byte(prefix), end[:i+1]
		}
	}
	return []byte(prefix), []byte{0}
}
