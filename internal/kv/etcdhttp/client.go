// Package etcdhttp implements kv.Store over the JSON gateway of etcd v3.
package etcdhttp

import (
	"context"
	"math"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/fulmardoor/fulmardoor/internal/kv"
	"github.com/fulmardoor/fulmardoor/internal/kv/etcdwire"
	"github.com/fulmardoor/fulmardoor/internal/readlimit"
	"github.com/fulmardoor/fulmardoor/internal/wholeresponse"
)

// maxResponseBytes is the maximum size of one response or watch message. All documents of a deployment are listed in one.
const maxResponseBytes = 32 << 20

// Client implements kv.Store. Create it with New.
type Client struct {
	baseURL     string
	httpClient  *http.Client
	callTimeout time.Duration
}

var (
	_ kv.Store         = (*Client)(nil)
	_ kv.HistoryReader = (*Client)(nil)
)

// New returns a client of the gateway at baseURL, for example "http://10.0.0.1:2379". client must have no Timeout, as
// that would end watches; nil means http.DefaultClient. callTimeout limits each call except watches; 0 means no limit.
func New(baseURL string, client *http.Client, callTimeout time.Duration) *Client {
	return &Client{
		baseURL: strings.TrimRight(baseURL, "/"), httpClient: wholeresponse.Client(readlimit.Client(client)), callTimeout: callTimeout,
	}
}

// Get implements kv.Store.
func (c *Client) Get(ctx context.Context, key string) (kv.Pair, error) {
	return c.get(ctx, etcdwire.RangeRequest{Key: []byte(key)})
}

func (c *Client) get(ctx context.Context, request etcdwire.RangeRequest) (kv.Pair, error) {
	var response etcdwire.RangeResponse
	if err := c.call(ctx, callRead, etcdwire.PathRange, request, &response); err != nil {
		return kv.Pair{}, err
	}
	if len(response.KVs) == 0 {
		return kv.Pair{}, kv.ErrNotFound
	}
	return toPair(response.KVs[0]), nil
}

// GetAt implements kv.HistoryReader.
func (c *Client) GetAt(ctx context.Context, key string, revision int64) (kv.Pair, error) {
	return c.get(ctx, etcdwire.RangeRequest{Key: []byte(key), Revision: revision})
}

// List implements kv.Store.
func (c *Client) List(ctx context.Context, prefix string) ([]kv.Pair, int64, error) {
	var request etcdwire.RangeRequest
	request.Key, request.RangeEnd = etcdwire.PrefixRange(prefix)
	var response etcdwire.RangeResponse
	if err := c.call(ctx, callRead, etcdwire.PathRange, request, &response); err != nil {
		return nil, 0, err
	}
	pairs := make([]kv.Pair, 0, len(response.KVs))
	for _, item := range response.KVs {
		pairs = append(pairs, toPair(item))
	}
	return pairs, response.Header.Revision, nil
}

// CompareAndSwap implements kv.Store.
func (c *Client) CompareAndSwap(ctx context.Context, key string, value []byte, revision, lease int64) (int64, error) {
	put := &etcdwire.PutRequest{Key: []byte(key), Value: value, Lease: lease}
	return c.txn(ctx, key, revision, etcdwire.RequestOp{Put: put})
}

// Delete implements kv.Store. Revision 0 succeeds on a key that does not exist and changes nothing.
func (c *Client) Delete(ctx context.Context, key string, revision int64) (int64, error) {
	remove := &etcdwire.DeleteRangeRequest{Key: []byte(key)}
	return c.txn(ctx, key, revision, etcdwire.RequestOp{DeleteRange: remove})
}

// txn runs op if the key's modification revision equals revision.
func (c *Client) txn(ctx context.Context, key string, revision int64, op etcdwire.RequestOp) (int64, error) {
	condition := etcdwire.Compare{
		Result:      etcdwire.CompareEqual,
		Target:      etcdwire.TargetMod,
		Key:         []byte(key),
		ModRevision: revision,
	}
	request := etcdwire.TxnRequest{
		Compare: []etcdwire.Compare{condition},
		Success: []etcdwire.RequestOp{op},
	}
	var response etcdwire.TxnResponse
	if err := c.call(ctx, callWrite, etcdwire.PathTxn, request, &response); err != nil {
		return 0, err
	}
	if !response.Succeeded {
		return 0, kv.ErrConflict
	}
	return response.Header.Revision, nil
}

// GrantLease implements kv.Store. ttl is rounded up to whole seconds, the unit of the protocol.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (int64, error) {
	if ttl <= 0 {
		return 0, errors.Errorf("lease: time to live %v is not positive", ttl)
	}
	request := etcdwire.LeaseGrantRequest{TTL: int64(math.Ceil(ttl.Seconds()))}
	var response etcdwire.LeaseGrantResponse
	if err := c.call(ctx, callWrite, etcdwire.PathLeaseGrant, request, &response); err != nil {
		return 0, err
	}
	return response.ID, nil
}

// RenewLease implements kv.Store.
func (c *Client) RenewLease(ctx context.Context, lease int64) error {
	request := etcdwire.LeaseRequest{ID: lease}
	var response etcdwire.Streamed[etcdwire.LeaseKeepAliveResponse]
	if err := c.call(ctx, callRead, etcdwire.PathLeaseKeepAlive, request, &response); err != nil {
		return err
	}
	if response.Error != nil {
		return statusError(callRead, http.StatusOK, *response.Error)
	}
	if response.Result == nil {
		return errors.Wrap(kv.ErrUnavailable, "lease renewal without a result")
	}
	if response.Result.TTL <= 0 {
		return kv.ErrLeaseNotFound
	}
	return nil
}

// RevokeLease implements kv.Store. Errors: kv.ErrLeaseNotFound, kv.ErrUnavailable, kv.ErrOutcomeUnknown.
func (c *Client) RevokeLease(ctx context.Context, lease int64) error {
	request := etcdwire.LeaseRequest{ID: lease}
	var response etcdwire.LeaseRevokeResponse
	return c.call(ctx, callWrite, etcdwire.PathLeaseRevoke, request, &response)
}

func toPair(item etcdwire.KeyValue) kv.Pair {
	return kv.Pair{
		Key:         string(item.Key),
		Value:       item.Value,
		ModRevision: item.ModRevision,
		LeaseID:     item.Lease,
	}
}
