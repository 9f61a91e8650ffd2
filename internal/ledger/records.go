package ledger

import (
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/fulmardoor/fulmardoor/internal/kv"
)

// refresh reads all records in one call, unless a read that began after the call of refresh has ended meanwhile.
func (n *Node) refresh(ctx context.Context) error {
	asked := time.Now()
	select {
	case n.refreshing <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-n.refreshing }()
	n.stateMu.Lock()
	if n.refreshAt.After(asked) {
		defer n.stateMu.Unlock()
		return n.refreshErr
	}
	n.refreshAt = time.Now()
	n.readWanted = false
	n.stateMu.Unlock()
	err := n.readRecords(ctx)
	n.stateMu.Lock()
	n.refreshErr = err
	n.stateMu.Unlock()
	return err
}

func (n *Node) readRecords(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	sent := time.Now()
	pairs, _, err := n.cfg.Store.List(ctx, recordPrefix)
	if err != nil {
		return err
	}
	for _, pair := range pairs {
		number, ok := shardOfKey(pair.Key, len(n.shards))
		if !ok {
			continue
		}
		s := n.shards[number]
		s.mu.Lock()
		if !s.writing {
			n.apply(s, pair, sent)
		}
		s.mu.Unlock()
	}
	n.stateMu.Lock()
	n.readAt = sent
	n.stateMu.Unlock()
	return nil
}

// refreshLater asks for a read of the records, at most one per clientRefresh.
func (n *Node) refreshLater() {
	n.stateMu.Lock()
	defer n.stateMu.Unlock()
	if n.readWanted || time.Since(n.refreshAt) < clientRefresh {
		return
	}
	n.readWanted = true
	go func() {
		if err := n.refresh(n.lifetime); err != nil {
			n.cfg.Logger.Debug("ledger records not read", zap.Error(err))
		}
	}()
}

// apply takes over a record that was read with an operation sent at sent. It is called with s.mu held.
func (n *Node) apply(s *shard, pair kv.Pair, sent time.Time) {
	if pair.ModRevision < s.revision {
		return
	}
	if pair.ModRevision > s.revision {
		next, err := decodeRecord(pair.Value)
		if err != nil {
			n.cfg.Logger.Error("shard record not readable", zap.Uint32("shard", s.number), zap.Error(err))
			return
		}
		n.change(s, next, pair.ModRevision)
	}
	if s.held {
		s.readUntil = later(s.readUntil, sent.Add(PromiseTerm))
	}
}

// change sets a record that another process wrote, or an earlier process of the same name. It is called with s.mu held.
func (n *Node) change(s *shard, next record, revision int64) {
	if s.held {
		n.cfg.Logger.Warn("shard lost", zap.Uint32("shard", s.number), zap.String("owner", next.Owner))
	}
	s.drop()
	s.record = next
	s.revision = revision
	if next.Successor == n.cfg.Self {
		// The owner gets one term to ask for the first promise.
		s.promisedUntil = later(s.promisedUntil, time.Now().Add(PromiseTerm))
	}
}

// drop ends the ownership. It is called with s.mu held.
func (s *shard) drop() {
	s.held = false
	s.stopped = false
	s.buckets = nil
	s.promiseUntil = time.Time{}
	s.readUntil = time.Time{}
}

// write changes the record of a shard for which the caller has set s.writing, and names this node as the owner. written
// is called with s.mu held after the record was written. write reports whether it was; s.writing is cleared unless ctx
// ended while the outcome was in doubt.
func (n *Node) write(ctx context.Context, s *shard, successor string, written func()) bool {
	s.mu.Lock()
	revision := s.revision
	next := record{Owner: n.cfg.Self, Successor: successor, Epoch: s.record.Epoch + 1, Writer: n.nextWriter()}
	s.mu.Unlock()

	result, ok := swap(ctx, n.cfg.Store, recordKey(s.number), next, revision)
	if !ok {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writing = false
	switch {
	case result.written:
		s.record = next
		s.revision = result.pair.ModRevision
		s.namedAt = time.Now()
		written()
		s.readUntil = later(s.readUntil, result.provenAt.Add(PromiseTerm))
	case result.found:
		n.apply(s, result.pair, result.provenAt)
	}
	return result.written
}

// nextWriter returns an identity for one write.
func (n *Node) nextWriter() string {
	n.stateMu.Lock()
	defer n.stateMu.Unlock()
	n.writes++
	return fmt.Sprintf("%s-%d", n.writer, n.writes)
}

// beginWrite sets s.writing if no write is in progress and condition holds.
func (s *shard) beginWrite(condition func() bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.writing || !condition() {
		return false
	}
	s.writing = true
	return true
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
