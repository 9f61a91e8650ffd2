package entry

import (
	"context"
	"sync"
	"time"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/transport"
	"github.com/fulmardoor/fulmardoor/internal/verdict"
)

// hold is a granted reservation; closing it frees the place unless the call has begun.
type hold struct {
	upstream *upstream
	link     *link
	request  *wirev1.ReserveRequest
	nonce    *wirev1.Nonce
	stream   *transport.Stream
	// lost is closed when the stream ended: the sidecar closes it when it gives up the place.
	lost chan struct{}
}

// isLost reports whether the sidecar is known to have given up the place.
func (h *hold) isLost() bool {
	select {
	case <-h.lost:
		return true
	default:
		return false
	}
}

// watch waits for the end of the stream.
func (h *hold) watch() {
	_ = h.stream.Recv(new(wirev1.ReserveReply))
	close(h.lost)
}

func (h *hold) close() {
	if h != nil {
		_ = h.stream.Close()
	}
}

// reserveResult is the answer of one sidecar.
type reserveResult struct {
	hold *hold
	err  error
}

// reserve asks several sidecars for a place; the first grant wins and the other requests are withdrawn (late binding).
// Each request has a call ID of its own, because the place is bound to it.
func (e *Entry) reserve(
	ctx context.Context, candidates []*upstream, template *wirev1.ReserveRequest,
) (*hold, error) {
	if len(candidates) == 0 {
		return nil, verdict.Refuse(wirev1.Reason_REASON_NO_UPSTREAM, "no upstream accepts work now")
	}
	waited := e.metrics.WaitForPlace(candidates[0].pool, candidates[0].roleName)
	ctx, cancel := context.WithTimeout(ctx, time.Duration(template.GetWaitMs())*time.Millisecond+reserveGrace)
	results := make(chan reserveResult, len(candidates))
	var asking sync.WaitGroup
	for _, u := range candidates {
		request := cloneReserve(template)
		request.Call = e.nextCallID()
		asking.Go(func() { results <- e.askPlace(ctx, u, request) })
	}
	winner, err := firstGrant(results, len(candidates))
	waited(winner != nil)
	cancel() // withdraws the requests that have not been answered
	go dropRest(&asking, results)
	return winner, err
}

func cloneReserve(r *wirev1.ReserveRequest) *wirev1.ReserveRequest {
	return &wirev1.ReserveRequest{
		Account: r.GetAccount(), CostTokens: r.GetCostTokens(), ReadyInMs: r.GetReadyInMs(), WaitMs: r.GetWaitMs(),
		Priority: r.GetPriority(), ExpectedOutputTokens: r.GetExpectedOutputTokens(),
	}
}

func firstGrant(results <-chan reserveResult, count int) (*hold, error) {
	var refusal error
	for range count {
		result := <-results
		if result.hold != nil {
			return result.hold, nil
		}
		refusal = result.err
	}
	return nil, refusal
}

// dropRest frees places that were granted after another sidecar had won.
func dropRest(asking *sync.WaitGroup, results chan reserveResult) {
	asking.Wait()
	close(results)
	for result := range results {
		result.hold.close()
	}
}

func (e *Entry) askPlace(ctx context.Context, u *upstream, request *wirev1.ReserveRequest) reserveResult {
	l, session := u.link.Load(), u.session()
	if l == nil || session == nil {
		return reserveResult{err: verdict.Refuse(wirev1.Reason_REASON_NO_UPSTREAM, "no connection to %s", u.name)}
	}
	stream, err := session.Open(&wirev1.StreamOpen{Kind: &wirev1.StreamOpen_Reserve{Reserve: request}})
	if err != nil {
		return reserveResult{err: verdict.Refuse(wirev1.Reason_REASON_NO_UPSTREAM, "no connection to %s", u.name)}
	}
	stop := context.AfterFunc(ctx, func() { _ = stream.Close() })
	reply := new(wirev1.ReserveReply)
	err = stream.Recv(reply)
	if !stop() || err != nil {
		_ = stream.Close()
		return reserveResult{err: verdict.Refuse(wirev1.Reason_REASON_NO_PLACE, "no place at %s in time", u.name)}
	}
	e.events.Observe(reply.GetLamport())
	if !reply.GetGranted() {
		_ = stream.Close()
		refusal := verdict.Refuse(reply.GetReason(), "no place at %s", u.name)
		refusal.RetryAfter = time.Duration(reply.GetRetryAfterMs()) * time.Millisecond
		return reserveResult{err: refusal}
	}
	h := &hold{upstream: u, link: l, request: request, nonce: reply.GetNonce(), stream: stream, lost: make(chan struct{})}
	go h.watch()
	return reserveResult{hold: h}
}
