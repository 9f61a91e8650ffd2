package transport

import (
	"crypto/rand"
	"encoding/binary"
	"time"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
)

// FenceWindow is the maximum age of a nonce, on the clock of its issuer, at which work that carries it may start. It
// keeps work from starting on permissions that were checked too long ago.
const FenceWindow = 1500 * time.Millisecond

// NewIncarnation returns a random identifier for one run of a process. It is never 0.
func NewIncarnation() uint64 {
	var b [8]byte
	for {
		_, _ = rand.Read(b[:]) // never fails
		if id := binary.BigEndian.Uint64(b[:]); id != 0 {
			return id
		}
	}
}

// NonceIssuer issues the nonces of one process and checks their age.
type NonceIssuer struct {
	incarnation uint64
	start       time.Time
}

// NewNonceIssuer returns an issuer for an incarnation of a process.
func NewNonceIssuer(incarnation uint64) *NonceIssuer {
	return &NonceIssuer{incarnation: incarnation, start: time.Now()}
}

// Issue returns a nonce with the current time.
func (n *NonceIssuer) Issue() *wirev1.Nonce {
	return &wirev1.Nonce{Incarnation: n.incarnation, IssuedMs: uint64(time.Since(n.start).Milliseconds())}
}

// Age returns the time since the nonce was issued; ok is false if another incarnation issued it.
func (n *NonceIssuer) Age(nonce *wirev1.Nonce) (age time.Duration, ok bool) {
	if nonce.GetIncarnation() != n.incarnation {
		return 0, false
	}
	return time.Since(n.start) - time.Duration(nonce.GetIssuedMs())*time.Millisecond, true
}

// Fresh reports whether work that carries the nonce may start: this incarnation issued it at most FenceWindow ago.
func (n *NonceIssuer) Fresh(nonce *wirev1.Nonce) bool {
	age, ok := n.Age(nonce)
	return ok && age <= FenceWindow
}
