package entry

import (
	"context"
	"sync"
	"time"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/transport"
	"github.com/fulmardoor/fulmardoor/internal/verdict"
)

// reservation is a place that a sidecar has granted. Closing it frees the place unless the call has begun.
type reservation struct {
	upstream *upstream
	link     *link
	request  *wirev1.ReserveRequest
	nonce    *wirev1.Nonce
	stream   *transport.Stream
	// revoked is closed when the stream has ended: the sidecar ends it when it takes the place back.
	revoked chan struct{}
}

// isRevoked reports whether the sidecar is known to have taken the place back.
func (r *reservation) isRevoked() bool {
	select {
	case <-r.revoked:
		return true
	default:
		return false
	}
}

// watchStream waits for the end of the stream and closes revoked.
func (r *reservation) watchStream() {
	_ = r.stream.Recv(new(wirev1.ReserveReply))
	close(r.revoked)
}

func (r *reservation) close() {
	if r != nil {
		_ = r.stream.Close()
	}
}

// reserveResult is the result of one reserve request.
type reserveResult struct {
	reservation *reservation
	err         error
}

// reserve requests a place from several sidecars at once, takes the first that is granted and cancels the other requests
// (late binding). Each request has its own call ID, because a place is granted to one call ID.
func (e *Entry) reserve(
	ctx context.Context, candidates []*upstream, template *wirev1.ReserveRequest,
) (*reservation, error) {
	if len(candidates) == 0 {
		return nil, verdict.Refuse(wirev1.Reason_REASON_NO_UPSTREAM, "no upstream accepts work now")
	}
	observeWait := e.metrics.StartPlaceWait(candidates[0].pool, candidates[0].roleName)
	ctx, cancel := context.WithTimeout(ctx, time.Duration(template.GetWaitMs())*time.Millisecond+reserveRoundTrip)
	results := make(chan reserveResult, len(candidates))
	var pending sync.WaitGroup
	for _, u := range candidates {
		request := cloneReserveRequest(template)
		request.Call = e.nextCallID()
		pending.Go(func() { results <- e.requestPlace(ctx, u, request) })
	}
	winner, err := firstGrant(results, len(candidates))
	observeWait(winner != nil)
	cancel() // ends the requests that are still pending
	go releaseLateGrants(&pending, results)
	return winner, err
}

func cloneReserveRequest(r *wirev1.ReserveRequest) *wirev1.ReserveRequest {
	return &wirev1.ReserveRequest{
		Account: r.GetAccount(), CostTokens: r.GetCostTokens(), ReadyInMs: r.GetReadyInMs(), WaitMs: r.GetWaitMs(),
		Priority: r.GetPriority(), ExpectedOutputTokens: r.GetExpectedOutputTokens(),
	}
}

func firstGrant(results <-chan reserveResult, count int) (*reservation, error) {
	var refusal error
	for range count {
		result := <-results
		if result.reservation != nil {
			return result.reservation, nil
		}
		refusal = result.err
	}
	return nil, refusal
}

// releaseLateGrants frees the places that were granted after the first one.
func releaseLateGrants(pending *sync.WaitGroup, results chan reserveResult) {
	pending.Wait()
	close(results)
	for result := range results {
		result.reservation.close()
	}
}

func (e *Entry) requestPlace(ctx context.Context, u *upstream, request *wirev1.ReserveRequest) reserveResult {
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
		return reserveResult{err: verdict.Refuse(wirev1.Reason_REASON_NO_PLACE, "no place at %s was granted in time", u.name)}
	}
	e.events.Observe(reply.GetLamport())
	if !reply.GetGranted() {
		_ = stream.Close()
		refusal := verdict.Refuse(reply.GetReason(), "no place at %s", u.name)
		refusal.RetryAfter = time.Duration(reply.GetRetryAfterMs()) * time.Millisecond
		return reserveResult{err: refusal}
	}
	granted := &reservation{upstream: u, link: l, request: request, nonce: reply.GetNonce(), stream: stream, revoked: make(chan struct{})}
	go granted.watchStream()
	return reserveResult{reservation: granted}
}
