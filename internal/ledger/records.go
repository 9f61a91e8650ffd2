package ledger

import (
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/fulmardoor/fulmardoor/internal/kv"
)

// refresh reads all records in one call to the store. If another read started and ended while refresh waited for the
// semaphore, it returns the result of that read.
func (n *Node) refresh(ctx context.Context) error {
	requestedAt := time.Now()
	select {
	case n.refreshSemaphore <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-n.refreshSemaphore }()
	n.stateMu.Lock()
	if n.refreshStartedAt.After(requestedAt) {
		defer n.stateMu.Unlock()
		return n.refreshErr
	}
	n.refreshStartedAt = time.Now()
	n.refreshRequested = false
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
	pairs, storeRevision, err := n.cfg.Store.List(ctx, recordPrefix)
	if err != nil {
		return err
	}
	n.findLostRecords(ctx, pairs, storeRevision)
	for _, pair := range pairs {
		number, ok := shardOfKey(pair.Key, len(n.shards))
		if !ok {
			continue
		}
		s := n.shards[number]
		earlier, odd := n.recordBefore(ctx, s, pair)
		s.mu.Lock()
		if !s.writing && odd {
			n.applyEarlierRecord(s, earlier, pair.ModRevision, sent)
		} else if !s.writing {
			n.applyRecord(s, pair, sent)
		}
		s.mu.Unlock()
	}
	n.stateMu.Lock()
	n.lastReadAt = sent
	n.stateMu.Unlock()
	return nil
}

// findLostRecords finds known records that the store does not have any more, because it went back to a copy.
func (n *Node) findLostRecords(ctx context.Context, pairs []kv.Pair, storeRevision int64) {
	listed := make(map[uint32]kv.Pair, len(pairs))
	for _, pair := range pairs {
		if number, ok := shardOfKey(pair.Key, len(n.shards)); ok {
			listed[number] = pair
		}
	}
	for _, s := range n.shards {
		s.mu.Lock()
		known := s.revision
		s.mu.Unlock()
		// A list below the known revision may be outdated; the record itself then tells.
		if listed[s.number].ModRevision >= known || storeRevision < known && !n.isBefore(ctx, s, known) {
			continue
		}
		s.mu.Lock()
		if s.revision == known && !s.writing {
			n.applyLostRecord(s, listed[s.number])
		}
		s.mu.Unlock()
	}
}

// isBefore reports whether the store has not reached a known revision. This read is never answered from outdated data.
func (n *Node) isBefore(ctx context.Context, s *shard, revision int64) bool {
	reader, ok := n.cfg.Store.(kv.HistoryReader)
	if !ok {
		return false
	}
	_, err := reader.GetAt(ctx, recordKey(s.number), revision)
	return errors.Is(err, kv.ErrFutureRevision)
}

// applyLostRecord handles a store that lost the known record. It has pair, or none if pair is empty. A record of a later epoch, or another one of the same, was
// written after the return and is followed. Otherwise the known record still tells who may write the next one. An owner takes the shard over again, with
// the takeover wait: whom the older record names may have taken it over in between, and grants until it reads the next record. It is called with s.mu held.
func (n *Node) applyLostRecord(s *shard, pair kv.Pair) {
	if next, err := decodeRecord(pair.Value); err == nil && next.Epoch >= s.record.Epoch {
		n.replaceRecord(s, next, pair.ModRevision)
		return
	}
	n.cfg.Logger.Warn("key-value service went back to a copy; it lost the shard's record", zap.Uint32("shard", s.number),
		zap.Uint64("epoch", s.record.Epoch), zap.String("owner", s.record.Owner), zap.Bool("owned", s.owned))
	s.clearOwnership()
	s.revision = pair.ModRevision
	s.lostRevision = pair.ModRevision
}

// RefreshRecords starts a read of the records. It is called when the store went back to a copy, so that an owner whose record was lost stops before another one
// has passed its takeover wait.
func (n *Node) RefreshRecords() { n.forceRefresh() }

// maxOddRecords is how many records in a row that cannot be decoded are looked past.
const maxOddRecords = 32

// recordBefore returns the last record before one that another program replaced by one that cannot be decoded. ok is false if pair can be
// decoded, was handled before, or the store does not keep the record before it.
func (n *Node) recordBefore(ctx context.Context, s *shard, pair kv.Pair) (earlier record, ok bool) {
	reader, hasHistory := n.cfg.Store.(kv.HistoryReader)
	s.mu.Lock()
	known := pair.ModRevision <= s.revision
	s.mu.Unlock()
	if _, err := decodeRecord(pair.Value); err == nil || known || !hasHistory {
		return record{}, false
	}
	for range maxOddRecords {
		before, err := reader.GetAt(ctx, pair.Key, pair.ModRevision-1)
		if err != nil {
			n.cfg.Logger.Debug("no record before the one that cannot be decoded", zap.Uint32("shard", s.number), zap.Error(err))
			return record{}, false
		}
		if earlier, err = decodeRecord(before.Value); err == nil {
			return earlier, true
		}
		pair = before
	}
	return record{}, false
}

// applyEarlierRecord handles a record that cannot be decoded, of which the one before it is known. The odd one changes nothing: whoever it named may
// still grant, and any change has to replace the odd one. It is called with s.mu held.
func (n *Node) applyEarlierRecord(s *shard, earlier record, revision int64, sent time.Time) {
	if revision <= s.revision {
		return
	}
	if s.oddRevision != revision {
		s.oddRevision = revision
		n.cfg.Logger.Error("shard record cannot be decoded; the one before it holds", zap.Uint32("shard", s.number), zap.Int64("revision", revision),
			zap.String("owner", earlier.Owner), zap.String("successor", earlier.Successor))
	}
	if s.revision == 0 || s.record != earlier {
		n.replaceRecord(s, earlier, revision)
		return
	}
	s.revision = revision
	if s.owned {
		s.readValidUntil = later(s.readValidUntil, sent.Add(PromiseTerm))
	}
}

// requestRefresh starts a read of the records in the background, at most one per minRefreshInterval.
func (n *Node) requestRefresh() {
	n.stateMu.Lock()
	defer n.stateMu.Unlock()
	if n.refreshRequested || time.Since(n.refreshStartedAt) < minRefreshInterval {
		return
	}
	n.refreshRequested = true
	go func() {
		if err := n.refresh(n.lifetime); err != nil {
			n.cfg.Logger.Debug("reading shard records failed", zap.Error(err))
		}
	}()
}

// applyRecord updates s with a record that was read by an operation sent at sent. It is called with s.mu held.
func (n *Node) applyRecord(s *shard, pair kv.Pair, sent time.Time) {
	if pair.ModRevision < s.revision {
		return
	}
	if pair.ModRevision > s.revision {
		next, err := decodeRecord(pair.Value)
		if err != nil {
			n.applyOddRecord(s, pair.ModRevision, err)
			return
		}
		n.replaceRecord(s, next, pair.ModRevision)
	} else if s.revision != s.lostRevision {
		// The store may have given out the revision of a lost record again.
		if next, err := decodeRecord(pair.Value); err == nil && next != s.record {
			n.replaceRecord(s, next, pair.ModRevision)
		}
	}
	if s.owned {
		s.readValidUntil = later(s.readValidUntil, sent.Add(PromiseTerm))
	}
}

// applyOddRecord handles a record that another program replaced by one that cannot be decoded. As long as the owner has a promise of its successor,
// nobody took the shard over in between: it then writes its record again (see reconcile). Until then no other node can change the owner. It is called with
// s.mu held.
func (n *Node) applyOddRecord(s *shard, revision int64, err error) {
	if revision != s.oddRevision {
		s.oddRevision = revision
		n.cfg.Logger.Error("shard record cannot be decoded", zap.Uint32("shard", s.number), zap.Int64("revision", revision), zap.Error(err))
	}
	if s.owned && !s.suspended && s.record.Successor != "" && time.Now().Before(s.receivedPromiseUntil) {
		s.revision = revision
	}
}

// hasOddRecord reports whether the record in the store cannot be decoded and this node may replace it. It is called with s.mu held.
func (s *shard) hasOddRecord() bool { return s.revision != 0 && s.revision == s.oddRevision }

// replaceRecord sets a record that was written by another process, or by an earlier process with the same name. It is
// called with s.mu held.
func (n *Node) replaceRecord(s *shard, next record, revision int64) {
	if s.owned {
		n.cfg.Logger.Warn("shard ownership lost", zap.Uint32("shard", s.number), zap.String("owner", next.Owner))
	}
	s.clearOwnership()
	s.record = next
	s.revision = revision
	if next.Successor == n.cfg.Self {
		// The owner has PromiseTerm to request its first promise.
		s.givenPromiseUntil = later(s.givenPromiseUntil, time.Now().Add(PromiseTerm))
	}
}

// clearOwnership ends this node's ownership of the shard. It is called with s.mu held.
func (s *shard) clearOwnership() {
	s.owned = false
	s.suspended = false
	s.buckets = nil
	s.receivedPromiseUntil = time.Time{}
	s.readValidUntil = time.Time{}
}

// writeRecord writes a record of the next epoch, with this node as the owner, and reports whether it was written. The
// caller has set s.writing. onWritten is called with s.mu held after the record was written. s.writing is cleared unless
// ctx ends while the outcome is unknown.
func (n *Node) writeRecord(ctx context.Context, s *shard, successor string, onWritten func()) bool {
	s.mu.Lock()
	revision := s.revision
	next := record{Owner: n.cfg.Self, Successor: successor, Epoch: s.record.Epoch + 1, Writer: n.nextWriter()}
	s.mu.Unlock()

	result, ok := compareAndSwap(ctx, n.cfg.Store, recordKey(s.number), next, revision)
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
		s.successorNamedAt = time.Now()
		onWritten()
		s.readValidUntil = later(s.readValidUntil, result.observedAt.Add(PromiseTerm))
	case result.found:
		n.applyRecord(s, result.pair, result.observedAt)
	}
	return result.written
}

// nextWriter returns a unique value for record.Writer.
func (n *Node) nextWriter() string {
	n.stateMu.Lock()
	defer n.stateMu.Unlock()
	n.writeCount++
	return fmt.Sprintf("%s-%d", n.writerID, n.writeCount)
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
