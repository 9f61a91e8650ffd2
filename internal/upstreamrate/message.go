package upstreamrate

import (
	"time"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/bounded"
)

// Message returns the message form of a limit at now.
func (l Limit) Message(now time.Time) *wirev1.UpstreamLimit {
	return &wirev1.UpstreamLimit{
		Upstream: l.Upstream, Incarnation: l.Incarnation, PerSecond: l.PerSecond, Withdrawn: !l.Named, AgeMs: now.Sub(l.HeardAt).Milliseconds(),
		FirstAgeMs: now.Sub(earliest(l.FirstHeardAt, l.HeardAt)).Milliseconds(),
	}
}

// LimitFromMessage returns the limit of a message that was received at now.
func LimitFromMessage(message *wirev1.UpstreamLimit, now time.Time) Limit {
	limit := Limit{Key: Key{message.GetUpstream(), message.GetIncarnation()}, HeardAt: now.Add(-bounded.Milliseconds(message.GetAgeMs()))}
	limit.FirstHeardAt = earliest(now.Add(-bounded.Milliseconds(message.GetFirstAgeMs())), limit.HeardAt)
	if !message.GetWithdrawn() {
		limit.Statement = NewStatement(message.GetPerSecond())
	}
	return limit
}
