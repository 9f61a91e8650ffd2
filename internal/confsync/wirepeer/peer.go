// Package wirepeer implements confsync.Peer over a transport session.
package wirepeer

import (
	"context"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/transport"
)

// Peer implements confsync.Peer.
type Peer struct{ session *transport.Session }

// New returns the remote process of a session as a peer.
func New(session *transport.Session) Peer { return Peer{session} }

// Name implements confsync.Peer.
func (p Peer) Name() string { return p.session.Remote().GetProcess() }

// Push implements confsync.Peer.
func (p Peer) Push(ctx context.Context, push *wirev1.ConfigPush) error {
	open := &wirev1.StreamOpen{Kind: &wirev1.StreamOpen_ConfigPush{ConfigPush: push}}
	return p.session.Call(ctx, open, new(wirev1.ConfigPushReply))
}

// Pull implements confsync.Peer.
func (p Peer) Pull(ctx context.Context, pull *wirev1.ConfigPull) (*wirev1.ConfigPullReply, error) {
	open := &wirev1.StreamOpen{Kind: &wirev1.StreamOpen_ConfigPull{ConfigPull: pull}}
	reply := new(wirev1.ConfigPullReply)
	if err := p.session.Call(ctx, open, reply); err != nil {
		return nil, err
	}
	return reply, nil
}
