package gateway

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/fulmardoor/fulmardoor/internal/fleet"
	"github.com/fulmardoor/fulmardoor/internal/upstreamconn"
)

const (
	// reserveTimeout limits a reservation call. It is short because an engine answers the call without waiting for a slot.
	reserveTimeout = 250 * time.Millisecond
	// reserveMargin is added to the expected time until the reservation is used.
	reserveMargin = 600 * time.Millisecond
	// minReserveTTL is the shortest time to live of a reservation.
	minReserveTTL = 300 * time.Millisecond
	// reservationMemory is how long a reservation is remembered at least. Connections are idle for less.
	reservationMemory = 10 * time.Second
)

// errNoCapacity means that an engine refused a reservation for lack of memory, or that another process now answers at the
// engine's address.
var errNoCapacity = errors.New("no capacity")

// reserve reserves memory at the decode engine before a prefill engine processes the prompt, if the engine's capacity is
// uncertain. It returns false if the plan must be dropped because the engine refuses or cannot be reached, so that no
// prompt is processed for an engine that would not take the request.
func (r *request) reserve(alloc *allocation) bool {
	engine := r.service.Engine
	if !alloc.CapacityUncertain || engine.MaxReservationTTL <= 0 || r.g.Limits.Limited(alloc.Decode, time.Now()) {
		return true
	}
	ttl := min(engine.MaxReservationTTL, max(minReserveTTL, alloc.Expected+reserveMargin))
	id, err := r.g.requestReservation(r.ctx, alloc.Decode, alloc.memory, ttl)
	if errors.Is(err, errNoCapacity) {
		r.recordStep("no_room", alloc.Decode.ID)
		r.g.Metrics.CountSend("reserve", "refused")
		r.g.Board.RecordRefusal(alloc.Decode.ID, time.Now())
		return false
	}
	if err != nil {
		r.recordStep("reserve_failed", alloc.Decode.ID)
		r.g.Metrics.CountSend("reserve", "failed")
		if r.ctx.Err() == nil {
			r.g.Board.MarkSuspect(alloc.Decode.ID, time.Now())
			r.g.Board.RecordRefusal(alloc.Decode.ID, time.Now())
		}
		return false
	}
	r.g.Metrics.CountSend("reserve", "granted")
	alloc.reservation = id
	return true
}

// requestReservation makes a reservation at an engine and returns its id.
func (g *Gateway) requestReservation(ctx context.Context, engine *fleet.Upstream, tokens int, ttl time.Duration) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	response, err := g.callUpstream(ctx, engine, g.Protocol.Reserve(engine, tokens, ttl))
	if err != nil {
		return "", err
	}
	defer response.Close()
	body, err := readAllLimited(response)
	if err != nil {
		return "", err
	}
	switch response.Status {
	case http.StatusServiceUnavailable:
		return "", errNoCapacity
	case http.StatusMisdirectedRequest:
		g.Board.MarkReplaced(engine.ID, time.Now())
		return "", errNoCapacity
	}
	id, err := g.Protocol.ReadReservation(response.Status, body)
	if err == nil && !g.reservations.add(engine, id, time.Now()) {
		err = errors.Errorf("reservation %q was already given out", id)
	}
	if err != nil {
		response.Discard()
	}
	return id, err
}

// reservationLog holds the recent reservations. An engine that sends the answer to an earlier call again names a reservation that
// another request uses. The zero value is ready to use.
type reservationLog struct {
	mu sync.Mutex // guards the fields below
	// older has the reservations of the interval before that of newer, which began at since.
	newer, older map[string]bool
	since        time.Time
}

// add adds a reservation. It returns false if the engine gave it out within the last reservationMemory.
func (l *reservationLog) add(engine *fleet.Upstream, id string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.since) > reservationMemory {
		l.newer, l.older, l.since = make(map[string]bool), l.newer, now
	}
	key := engine.ID + "/" + strconv.FormatInt(engine.Incarnation, 10) + "/" + id
	if l.newer[key] || l.older[key] {
		return false
	}
	l.newer[key] = true
	return true
}

// dropReservation frees a reservation that will not be used.
func (a *allocation) dropReservation(g *Gateway) {
	if a.reservation == "" {
		return
	}
	g.releaseAsync(a.Decode, g.Protocol.DropReservation(a.Decode, a.reservation))
	a.reservation = ""
}

// releaseAsync sends a call that frees a KV cache or a reservation, without delaying the request. If the call fails, the engine
// frees it when its time to live ends.
func (g *Gateway) releaseAsync(engine *fleet.Upstream, request *upstreamconn.Request) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		response, err := g.callUpstream(ctx, engine, request)
		if err != nil {
			g.Logger.Info("release call failed; the engine frees the resource when its time to live ends",
				zap.String("address", request.Address), zap.String("error", err.Error()))
			return
		}
		_, _ = readAllLimited(response) // only a connection whose response was read is reused
		response.Close()
	}()
}
