package etcdhttp

import (
	"context"
	"encoding/json"
	"io"
	"time"

	"github.com/go-faster/errors"

	"github.com/fulmardoor/fulmardoor/internal/kv"
	"github.com/fulmardoor/fulmardoor/internal/kv/etcdwire"
	"github.com/fulmardoor/fulmardoor/internal/readlimit"
)

// MinWatchIdleTimeout is the minimum time without any message, progress notifications included, after which a watch
// fails. The platform sends a progress notification every 500 ms. If the call timeout is longer, it is used instead.
const MinWatchIdleTimeout = 1500 * time.Millisecond

// Watch implements kv.Store. It returns when the service has confirmed the watch. With a revision of 0 or less, the watch
// starts after the store's current revision. A watch that receives no message within the idle timeout ends with
// kv.ErrUnavailable.
func (c *Client) Watch(ctx context.Context, prefix string, revision int64) (<-chan kv.WatchUpdate, error) {
	requestCtx, cancel := context.WithCancel(ctx)
	w := &watch{
		cancel:      cancel,
		idleTimeout: max(c.callTimeout, MinWatchIdleTimeout),
		updates:     make(chan kv.WatchUpdate),
	}
	// The timer also limits the time until the watch is confirmed.
	w.idleTimer = time.AfterFunc(w.idleTimeout, cancel)
	if err := w.start(requestCtx, c, prefix, max(revision, 0)); err != nil {
		w.stop()
		return nil, err
	}
	go w.run(ctx)
	return w.updates, nil
}

type watch struct {
	cancel      context.CancelFunc
	idleTimeout time.Duration
	idleTimer   *time.Timer
	body        io.Closer
	decoder     *json.Decoder
	limit       *readlimit.Reader // of one message
	updates     chan kv.WatchUpdate
}

func (w *watch) start(ctx context.Context, c *Client, prefix string, revision int64) error {
	create := &etcdwire.WatchCreateRequest{StartRevision: revision, ProgressNotify: true}
	create.Key, create.RangeEnd = etcdwire.PrefixRange(prefix)
	httpResponse, err := c.post(ctx, callRead, etcdwire.PathWatch, etcdwire.WatchRequest{Create: create})
	if err != nil {
		return err
	}
	w.body = httpResponse.Body
	w.limit = &readlimit.Reader{Source: httpResponse.Body}
	w.decoder = json.NewDecoder(w.limit)
	confirmation, err := w.receive()
	if err != nil {
		return err
	}
	if !confirmation.Created {
		return errors.Wrap(kv.ErrUnavailable, "watch was not confirmed")
	}
	return nil
}

func (w *watch) stop() {
	w.idleTimer.Stop()
	w.cancel()
	if w.body != nil {
		_ = w.body.Close()
	}
}

func (w *watch) run(ctx context.Context) {
	defer close(w.updates)
	defer w.stop()
	for {
		message, err := w.receive()
		if ctx.Err() != nil {
			return
		}
		update := toUpdate(message, err)
		if !w.send(ctx, update) || update.Err != nil {
			return
		}
	}
}

// send delivers an update unless the caller's context ends.
func (w *watch) send(ctx context.Context, update kv.WatchUpdate) bool {
	select {
	case w.updates <- update:
		return true
	case <-ctx.Done():
		return false
	}
}

// receive reads the next message, waiting up to the idle timeout.
func (w *watch) receive() (*etcdwire.WatchResponse, error) {
	w.idleTimer.Reset(w.idleTimeout)
	defer w.idleTimer.Stop()
	w.limit.Left = maxResponseBytes
	var message etcdwire.Streamed[etcdwire.WatchResponse]
	if err := w.decoder.Decode(&message); err != nil {
		return nil, errors.Wrap(kv.ErrUnavailable, "read watch: "+err.Error())
	}
	if message.Error != nil {
		return nil, errors.Wrap(kv.ErrUnavailable, message.Error.Message)
	}
	if message.Result == nil {
		return nil, errors.Wrap(kv.ErrUnavailable, "watch message without a result")
	}
	return message.Result, nil
}

func toUpdate(message *etcdwire.WatchResponse, err error) kv.WatchUpdate {
	switch {
	case err != nil:
		return kv.WatchUpdate{Err: err}
	case message.CompactRevision > 0:
		return kv.WatchUpdate{Revision: message.Header.Revision, Err: kv.ErrCompacted}
	case message.Canceled:
		return kv.WatchUpdate{Err: errors.Wrap(kv.ErrUnavailable, "watch cancelled: "+message.CancelReason)}
	}
	update := kv.WatchUpdate{Revision: message.Header.Revision}
	for _, e := range message.Events {
		update.Events = append(update.Events, kv.Event{Pair: toPair(e.KV), Deleted: e.Type == etcdwire.EventDelete})
		// The revision in the header may be ahead of the events delivered so far.
		update.Revision = e.KV.ModRevision
	}
	return update
}
