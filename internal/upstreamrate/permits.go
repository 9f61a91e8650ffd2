package upstreamrate

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fulmardoor/fulmardoor/internal/fleet"
	"github.com/fulmardoor/fulmardoor/internal/prefix"
)

const (
	// requestTimeout limits the request for a permit. It is far more than the time to another data centre and back.
	requestTimeout = 150 * time.Millisecond
	// requestBackoff is how long a process that did not answer, or does not issue the permits, is not asked again.
	requestBackoff = 500 * time.Millisecond
	// settleTime is the time after its start in which a process issues permits for half of the rate, because processes that
	// are not connected to it yet ask another one. They read the list of processes every three seconds, and the list
	// may be some seconds old.
	settleTime    = 8 * time.Second
	settlingShare = 0.5
)

// Peers are the other entry processes.
type Peers interface {
	// ConnectedNames returns the names of the connected processes that may issue permits. In a large fleet these are the relays; a
	// process that is none asks its relay, which passes the request on.
	ConnectedNames() []string
	// KnownProcesses returns the number of processes that are connected, directly or through relays, this one included.
	KnownProcesses() int
	// Issues reports whether this process is one of those that may issue permits.
	Issues() bool
	// RequestPermit asks a connected process for a permit. passedOn says that another process asked this one for it.
	RequestPermit(ctx context.Context, process string, limit Limit, passedOn bool) (Reply, error)
}

// Reply is the answer to a request for a permit.
type Reply struct {
	// Issuer is set if the process issues the permits for the upstream.
	Issuer  bool
	Granted bool
	// Wait is the time until the next permit if none was granted.
	Wait time.Duration
}

// Permit is the permission to send one request to an upstream.
type Permit struct {
	OK bool
	// Wait is the time after which a refused permit may be granted.
	Wait time.Duration
	// PerSecond is the limit, and Issuer the process that decided; empty for this process's own share.
	PerSecond float64
	Issuer    string
}

// Acquire returns a permit for one request to an upstream. For one without a limit it returns at once.
func (l *Limits) Acquire(ctx context.Context, upstream *fleet.Upstream) Permit {
	key := keyOf(upstream)
	now := time.Now()
	l.mu.Lock()
	if until := l.pausedUntil[key]; now.Before(until) {
		l.mu.Unlock()
		return Permit{Wait: until.Sub(now)}
	}
	e := l.entries[key]
	if e == nil || !e.known.Named {
		l.mu.Unlock()
		return Permit{OK: true}
	}
	limit := e.known
	issuer := l.issuerLocked(key)
	ask := issuer != "" && issuer != l.name && !now.Before(l.noRequestsUntil[issuer])
	l.mu.Unlock()
	permit := Permit{PerSecond: limit.PerSecond, Issuer: issuer}
	if issuer == l.name {
		l.stopShare(key)
		permit.Wait, permit.OK = l.issue(limit, now)
		return permit
	}
	if ask {
		reply, err := l.request(ctx, issuer, limit, false)
		if err == nil && reply.Issuer {
			l.stopShare(key)
			// The random part keeps all processes from asking again at the same moment.
			permit.OK, permit.Wait = reply.Granted, reply.Wait+rand.N(reply.Wait+time.Millisecond)
			return permit
		}
		if ctx.Err() == nil {
			l.backOff(issuer)
		}
	}
	permit.Issuer = ""
	permit.Wait, permit.OK = l.takeShare(limit, time.Now())
	return permit
}

// issuerLocked returns the name of the process that issues the permits for an upstream: one of those that are connected, if they are more
// than half of all. Otherwise there is none, as the other half may have an issuer too, and each process uses its own share.
func (l *Limits) issuerLocked(key Key) string {
	names := l.peers.ConnectedNames()
	if l.peers.Issues() {
		names = append(names, l.name)
	}
	if 2*l.peers.KnownProcesses() <= l.processes || len(names) == 0 {
		return ""
	}
	return prefix.Rendezvous(xxhash.Sum64String(key.Upstream), names, 1)[0]
}

// request asks a process for a permit. The call may block on a connection that went silent, so it is left behind when the time is over.
func (l *Limits) request(ctx context.Context, process string, limit Limit, passedOn bool) (Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	type result struct {
		reply Reply
		err   error
	}
	done := make(chan result, 1)
	go func() {
		defer cancel()
		reply, err := l.peers.RequestPermit(ctx, process, limit, passedOn)
		done <- result{reply, err}
	}()
	select {
	case r := <-done:
		return r.reply, r.err
	case <-ctx.Done():
		return Reply{}, ctx.Err()
	}
}

func (l *Limits) backOff(process string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.noRequestsUntil[process] = time.Now().Add(requestBackoff)
}

// Serve answers another process's request for a permit. One that was not passed on yet is passed on to the issuer if that is not this
// process.
func (l *Limits) Serve(ctx context.Context, limit Limit, passedOn bool) Reply {
	now := time.Now()
	l.mu.Lock()
	if issuer := l.issuerLocked(limit.Key); issuer != l.name {
		l.mu.Unlock()
		if issuer == "" || passedOn || !l.peers.Issues() {
			return Reply{}
		}
		reply, err := l.request(ctx, issuer, limit, true)
		if err != nil {
			return Reply{}
		}
		return reply
	}
	l.applyLocked(limit, now)
	e := l.entries[limit.Key]
	if e == nil || !e.known.Named { // this process heard later that the limit was withdrawn
		l.mu.Unlock()
		return Reply{Issuer: true, Granted: true}
	}
	limit = e.known
	l.mu.Unlock()
	wait, ok := l.issue(limit, now)
	return Reply{Issuer: true, Granted: ok, Wait: wait}
}

// issue takes one of the permits that this process issues. For each process that is not connected, an equal share of the rate is left
// for the permits that it may use meanwhile.
func (l *Limits) issue(limit Limit, now time.Time) (wait time.Duration, ok bool) {
	connected := l.peers.KnownProcesses()
	l.mu.Lock()
	defer l.mu.Unlock()
	rate := limit.rate() * float64(connected) / float64(max(connected, l.processes))
	if now.Sub(l.startedAt) < settleTime {
		rate *= settlingShare
	}
	return l.entryLocked(limit.Key, now).issued.take(rate, now)
}

// takeShare takes a permit of this process's own share, while the process that issues the permits does not answer.
func (l *Limits) takeShare(limit Limit, now time.Time) (wait time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.place
	p.of = max(p.of, l.processes)
	return l.entryLocked(limit.Key, now).share.take(limit.rate(), limit.FirstHeardAt, p, now)
}

// stopShare ends the use of this process's own share, because the process that issues the permits answered.
func (l *Limits) stopShare(key Key) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.entries[key]; e != nil {
		e.share.beganAt = time.Time{}
	}
}

// noPeers are the peers of a process that is alone.
type noPeers struct{}

func (noPeers) ConnectedNames() []string { return nil }

func (noPeers) KnownProcesses() int { return 1 }

func (noPeers) Issues() bool { return true }

func (noPeers) RequestPermit(context.Context, string, Limit, bool) (Reply, error) {
	return Reply{}, nil
}
