package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"math"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/fulmardoor/fulmardoor/internal/kv"
	"github.com/fulmardoor/fulmardoor/internal/kv/etcdwire"
)

func (p *Platform) header() etcdwire.Header {
	return etcdwire.Header{Revision: p.store.Revision()}
}

func (p *Platform) serveRange(w http.ResponseWriter, r *http.Request) {
	var request etcdwire.RangeRequest
	if !p.decode(w, r, &request) {
		return
	}
	if len(request.RangeEnd) == 0 {
		p.serveGet(w, r, string(request.Key), request.Revision)
		return
	}
	if request.Revision != 0 {
		p.writeUnimplemented(w, "several keys at a revision")
		return
	}
	prefix, ok := prefixOf(request.Key, request.RangeEnd)
	if !ok {
		p.writeUnimplemented(w, "a range other than a key or a prefix")
		return
	}
	pairs, revision, err := p.store.List(r.Context(), prefix)
	if err != nil {
		p.writeStoreError(w, err)
		return
	}
	p.writeJSON(w, rangeResponse(revision, pairs))
}

func (p *Platform) serveGet(w http.ResponseWriter, r *http.Request, key string, revision int64) {
	get := p.store.Get
	if revision != 0 {
		get = func(ctx context.Context, key string) (kv.Pair, error) { return p.store.GetAt(ctx, key, revision) }
	}
	pair, err := get(r.Context(), key)
	switch {
	case errors.Is(err, kv.ErrNotFound):
		p.writeJSON(w, rangeResponse(p.store.Revision(), nil))
	case err != nil:
		p.writeStoreError(w, err)
	default:
		p.writeJSON(w, rangeResponse(p.store.Revision(), []kv.Pair{pair}))
	}
}

func rangeResponse(revision int64, pairs []kv.Pair) etcdwire.RangeResponse {
	response := etcdwire.RangeResponse{Header: etcdwire.Header{Revision: revision}, Count: int64(len(pairs))}
	for _, pair := range pairs {
		response.KVs = append(response.KVs, keyValueOf(pair))
	}
	return response
}

// prefixOf returns the key prefix that a range selects, or false if the range is not a prefix range.
func prefixOf(key, end []byte) (string, bool) {
	if bytes.Equal(key, []byte{0}) && bytes.Equal(end, []byte{0}) {
		return "", true
	}
	_, prefixEnd := etcdwire.PrefixRange(string(key))
	return string(key), len(key) > 0 && bytes.Equal(end, prefixEnd)
}

func keyValueOf(pair kv.Pair) etcdwire.KeyValue {
	return etcdwire.KeyValue{
		Key:         []byte(pair.Key),
		Value:       pair.Value,
		ModRevision: pair.ModRevision,
		Lease:       pair.LeaseID,
	}
}

func (p *Platform) serveTxn(w http.ResponseWriter, r *http.Request) {
	var request etcdwire.TxnRequest
	if !p.decode(w, r, &request) {
		return
	}
	if !isSupported(request) {
		p.writeUnimplemented(w, "this transaction")
		return
	}
	compare, op := request.Compare[0], request.Success[0]
	var revision int64
	var err error
	if op.Put != nil {
		revision, err = p.store.CompareAndSwap(
			r.Context(), string(compare.Key), op.Put.Value, compare.ModRevision, op.Put.Lease)
	} else {
		revision, err = p.store.Delete(r.Context(), string(compare.Key), compare.ModRevision)
	}
	switch {
	case errors.Is(err, kv.ErrConflict):
		p.writeJSON(w, etcdwire.TxnResponse{Header: p.header()})
	case err != nil:
		p.writeStoreError(w, err)
	default:
		p.writeJSON(w, etcdwire.TxnResponse{Header: etcdwire.Header{Revision: revision}, Succeeded: true})
	}
}

// isSupported reports whether the stand-in implements a transaction: one compare on the mod_revision of a key, and one
// put or delete of the same key.
func isSupported(request etcdwire.TxnRequest) bool {
	if len(request.Compare) != 1 || len(request.Success) != 1 || len(request.Failure) != 0 {
		return false
	}
	compare, op := request.Compare[0], request.Success[0]
	if compare.Result != etcdwire.CompareEqual || compare.Target != etcdwire.TargetMod {
		return false
	}
	if op.Put != nil {
		return op.DeleteRange == nil && bytes.Equal(op.Put.Key, compare.Key)
	}
	deletion := op.DeleteRange
	return deletion != nil && bytes.Equal(deletion.Key, compare.Key) && len(deletion.RangeEnd) == 0
}

func (p *Platform) serveLeaseGrant(w http.ResponseWriter, r *http.Request) {
	var request etcdwire.LeaseGrantRequest
	if !p.decode(w, r, &request) {
		return
	}
	if request.TTL <= 0 {
		p.writeError(w, http.StatusBadRequest, etcdwire.CodeInvalidArgument, "TTL must be positive")
		return
	}
	id, err := p.store.GrantLease(r.Context(), time.Duration(request.TTL)*time.Second)
	if err != nil {
		p.writeStoreError(w, err)
		return
	}
	p.writeJSON(w, etcdwire.LeaseGrantResponse{Header: p.header(), ID: id, TTL: request.TTL})
}

func (p *Platform) serveLeaseKeepAlive(w http.ResponseWriter, r *http.Request) {
	var request etcdwire.LeaseRequest
	if !p.decode(w, r, &request) {
		return
	}
	ttl, err := p.store.Renew(r.Context(), request.ID)
	if err != nil && !errors.Is(err, kv.ErrLeaseNotFound) {
		p.writeStoreError(w, err)
		return
	}
	response := etcdwire.LeaseKeepAliveResponse{
		Header: p.header(),
		ID:     request.ID,
		TTL:    int64(math.Ceil(ttl.Seconds())),
	}
	p.writeJSON(w, etcdwire.Streamed[etcdwire.LeaseKeepAliveResponse]{Result: &response})
}

func (p *Platform) serveLeaseRevoke(w http.ResponseWriter, r *http.Request) {
	var request etcdwire.LeaseRequest
	if !p.decode(w, r, &request) {
		return
	}
	if err := p.store.RevokeLease(r.Context(), request.ID); err != nil {
		p.writeStoreError(w, err)
		return
	}
	p.writeJSON(w, etcdwire.LeaseRevokeResponse{Header: p.header()})
}

func (p *Platform) serveWatch(w http.ResponseWriter, r *http.Request) {
	var request etcdwire.WatchRequest
	if !p.decode(w, r, &request) {
		return
	}
	if request.Create == nil {
		p.writeUnimplemented(w, "a watch request without create_request")
		return
	}
	prefix, ok := prefixOf(request.Create.Key, request.Create.RangeEnd)
	if !ok {
		p.writeUnimplemented(w, "a watch of a range other than a prefix")
		return
	}
	updates, err := p.store.Watch(r.Context(), prefix, request.Create.StartRevision)
	if err != nil {
		p.writeStoreError(w, err)
		return
	}
	stream := &watchStream{w: w, flush: http.NewResponseController(w).Flush}
	stream.send(etcdwire.WatchResponse{Header: p.header(), Created: true})
	for stream.err == nil {
		select {
		case update, open := <-updates:
			if !open {
				return
			}
			p.forward(stream, update, request.Create.ProgressNotify)
		case <-p.ctx.Done():
			return
		}
	}
}

// forward sends an update of the store to the client. If the watch has ended because of compaction, it sends a
// cancelled response with the compact revision; if it has ended for another reason, it closes the connection.
func (p *Platform) forward(stream *watchStream, update kv.WatchUpdate, progressNotify bool) {
	switch {
	case errors.Is(update.Err, kv.ErrCompacted):
		stream.send(etcdwire.WatchResponse{
			Header:          etcdwire.Header{Revision: update.Revision},
			Canceled:        true,
			CompactRevision: p.store.Compacted(),
		})
	case update.Err != nil:
		panic(http.ErrAbortHandler)
	case len(update.Events) > 0 || progressNotify:
		response := etcdwire.WatchResponse{Header: etcdwire.Header{Revision: update.Revision}}
		for _, e := range update.Events {
			response.Events = append(response.Events, eventOf(e))
		}
		stream.send(response)
	}
}

func eventOf(e kv.Event) etcdwire.Event {
	event := etcdwire.Event{KV: keyValueOf(e.Pair)}
	if e.Deleted {
		event.Type = etcdwire.EventDelete
	}
	return event
}

// watchStream writes the responses of one watch. After a write error it drops all further responses.
type watchStream struct {
	w     http.ResponseWriter
	flush func() error
	err   error
}

func (s *watchStream) send(response etcdwire.WatchResponse) {
	if s.err != nil {
		return
	}
	s.err = json.NewEncoder(s.w).Encode(etcdwire.Streamed[etcdwire.WatchResponse]{Result: &response})
	if s.err == nil {
		s.err = s.flush()
	}
}
