package platform

import (
	"bytes"
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
		p.serveGet(w, r, string(request.Key))
		return
	}
	prefix, ok := prefixOf(request.Key, request.RangeEnd)
	if !ok {
		p.unimplemented(w, "a range that is no prefix")
		return
	}
	pairs, revision, err := p.store.List(r.Context(), prefix)
	if err != nil {
		p.fail(w, err)
		return
	}
	p.answer(w, rangeResponse(revision, pairs))
}

func (p *Platform) serveGet(w http.ResponseWriter, r *http.Request, key string) {
	pair, err := p.store.Get(r.Context(), key)
	switch {
	case errors.Is(err, kv.ErrNotFound):
		p.answer(w, rangeResponse(p.store.Revision(), nil))
	case err != nil:
		p.fail(w, err)
	default:
		p.answer(w, rangeResponse(p.store.Revision(), []kv.Pair{pair}))
	}
}

func rangeResponse(revision int64, pairs []kv.Pair) etcdwire.RangeResponse {
	response := etcdwire.RangeResponse{Header: etcdwire.Header{Revision: revision}, Count: int64(len(pairs))}
	for _, pair := range pairs {
		response.KVs = append(response.KVs, keyValueOf(pair))
	}
	return response
}

// prefixOf returns the prefix that a range stands for.
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
	if !served(request) {
		p.unimplemented(w, "this transaction")
		return
	}
	condition, op := request.Compare[0], request.Success[0]
	var revision int64
	var err error
	if op.Put != nil {
		revision, err = p.store.CompareAndSwap(
			r.Context(), string(condition.Key), op.Put.Value, condition.ModRevision, op.Put.Lease)
	} else {
		revision, err = p.store.Delete(r.Context(), string(condition.Key), condition.ModRevision)
	}
	switch {
	case errors.Is(err, kv.ErrConflict):
		p.answer(w, etcdwire.TxnResponse{Header: p.header()})
	case err != nil:
		p.fail(w, err)
	default:
		p.answer(w, etcdwire.TxnResponse{Header: etcdwire.Header{Revision: revision}, Succeeded: true})
	}
}

// served tells whether the stand-in can run a transaction.
func served(request etcdwire.TxnRequest) bool {
	if len(request.Compare) != 1 || len(request.Success) != 1 || len(request.Failure) != 0 {
		return false
	}
	condition, op := request.Compare[0], request.Success[0]
	if condition.Result != etcdwire.CompareEqual || condition.Target != etcdwire.TargetMod {
		return false
	}
	if op.Put != nil {
		return op.DeleteRange == nil && bytes.Equal(op.Put.Key, condition.Key)
	}
	remove := op.DeleteRange
	return remove != nil && bytes.Equal(remove.Key, condition.Key) && len(remove.RangeEnd) == 0
}

func (p *Platform) serveLeaseGrant(w http.ResponseWriter, r *http.Request) {
	var request etcdwire.LeaseGrantRequest
	if !p.decode(w, r, &request) {
		return
	}
	if request.TTL <= 0 {
		p.refuse(w, http.StatusBadRequest, etcdwire.CodeInvalidArgument, "TTL must be positive")
		return
	}
	id, err := p.store.GrantLease(r.Context(), time.Duration(request.TTL)*time.Second)
	if err != nil {
		p.fail(w, err)
		return
	}
	p.answer(w, etcdwire.LeaseGrantResponse{Header: p.header(), ID: id, TTL: request.TTL})
}

func (p *Platform) serveLeaseKeepAlive(w http.ResponseWriter, r *http.Request) {
	var request etcdwire.LeaseRequest
	if !p.decode(w, r, &request) {
		return
	}
	ttl, err := p.store.Renew(r.Context(), request.ID)
	if err != nil && !errors.Is(err, kv.ErrLeaseNotFound) {
		p.fail(w, err)
		return
	}
	response := etcdwire.LeaseKeepAliveResponse{
		Header: p.header(),
		ID:     request.ID,
		TTL:    int64(math.Ceil(ttl.Seconds())),
	}
	p.answer(w, etcdwire.Streamed[etcdwire.LeaseKeepAliveResponse]{Result: &response})
}

func (p *Platform) serveLeaseRevoke(w http.ResponseWriter, r *http.Request) {
	var request etcdwire.LeaseRequest
	if !p.decode(w, r, &request) {
		return
	}
	if err := p.store.RevokeLease(r.Context(), request.ID); err != nil {
		p.fail(w, err)
		return
	}
	p.answer(w, etcdwire.LeaseRevokeResponse{Header: p.header()})
}

func (p *Platform) serveWatch(w http.ResponseWriter, r *http.Request) {
	var request etcdwire.WatchRequest
	if !p.decode(w, r, &request) {
		return
	}
	if request.Create == nil {
		p.unimplemented(w, "a watch request without create_request")
		return
	}
	prefix, ok := prefixOf(request.Create.Key, request.Create.RangeEnd)
	if !ok {
		p.unimplemented(w, "a watch of a range that is no prefix")
		return
	}
	updates, err := p.store.Watch(r.Context(), prefix, request.Create.StartRevision)
	if err != nil {
		p.fail(w, err)
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
			p.relay(stream, update, request.Create.ProgressNotify)
		case <-p.ctx.Done():
			return
		}
	}
}

// relay passes an update on. The end of the watch closes the connection, except after compaction, which is said.
func (p *Platform) relay(stream *watchStream, update kv.WatchUpdate, progressNotify bool) {
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

// watchStream writes the messages of one watch. After an error it writes nothing more.
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
