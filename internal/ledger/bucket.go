package ledger

import (
	"slices"
	"time"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/transport"
)

const (
	// ChargeAge is the age at which an outstanding charge is settled as fully used.
	ChargeAge = 15 * time.Minute
	// SettledAge is how long a settled charge ID is remembered, so that a late copy of the charge is not granted again.
	SettledAge = time.Minute

	// compactAfter is the number of settled charges that may stay in the list of outstanding ones behind an older charge.
	compactAfter = 64
)

// Limits are the rate in tokens per second and the burst in tokens of a client account.
type Limits struct{ Rate, Burst uint64 }

const (
	// MaxChargeAge is the age up to which a caller may use a charge with a nonce that it got after the charge.
	MaxChargeAge = 500 * time.Millisecond
	// StartSlack is the longest time between a charge and the start of its work.
	StartSlack = MaxChargeAge + transport.FenceWindow
)

// Capacity returns the bucket capacity in tokens. A charge and the start of its work are up to StartSlack apart, so the
// bucket keeps StartSlack of rate back from the burst.
func (l Limits) Capacity() float64 {
	capacity := float64(l.Burst) - float64(l.Rate)*StartSlack.Seconds()
	return max(capacity, 0)
}

// chargeID is a call ID as a map key.
type chargeID struct{ incarnation, sequence uint64 }

func idOf(id *wirev1.CallID) chargeID {
	return chargeID{incarnation: id.GetIncarnation(), sequence: id.GetSequence()}
}

func (id chargeID) wire() *wirev1.CallID {
	return &wirev1.CallID{Incarnation: id.incarnation, Sequence: id.sequence}
}

// Bucket is the token bucket of one account. Its level always equals that of a bucket that was charged with the settled
// amounts from the start. It is not safe for concurrent use.
//
// The headroom (capacity - level) is kept as a sequence of pieces in the order of the charges that caused them. Refill
// consumes the newest pieces first. A refund consumes the pieces up to and including that of its own charge, newest
// first: what refill has already restored there cannot be restored again. Bounding each refund only by the least
// headroom since its charge is not enough with several refunds outstanding, because one refund lowers the past headroom
// that the others are measured against.
type Bucket struct {
	limits   Limits
	updated  time.Time
	headroom float64
	// tail is the headroom newer than the last outstanding charge.
	tail float64
	// root is older than all pieces; its piece is always 0.
	root, last *piece

	charges     map[chargeID]*charge
	outstanding []*charge // oldest first; may contain settled charges
	open        int       // number of outstanding charges that are not settled
	settled     []*charge // oldest settlement first
}

// piece is the headroom between two neighbouring groups of outstanding charges. Charges with nothing between them share
// a piece.
type piece struct {
	tokens     float64
	members    int
	prev, next *piece
	merged     *piece // older piece that this one was merged into
}

func (p *piece) find() *piece {
	top := p
	for top.merged != nil {
		top = top.merged
	}
	for p.merged != nil {
		p, p.merged = p.merged, top
	}
	return top
}

type charge struct {
	id      chargeID
	tokens  uint64
	at      time.Time // time of the charge, then of its settlement
	piece   *piece
	settled bool
}

// NewBucket returns a bucket that is full, or empty if full is false.
func NewBucket(limits Limits, now time.Time, full bool) *Bucket {
	root := &piece{}
	b := &Bucket{limits: limits, updated: now, root: root, last: root, charges: make(map[chargeID]*charge)}
	if !full {
		b.tail = limits.Capacity()
		b.headroom = b.tail
	}
	return b
}

// Level returns the tokens that can be charged now. It is negative after the burst was lowered below what is in use.
func (b *Bucket) Level(now time.Time) float64 {
	b.refill(now)
	return b.limits.Capacity() - b.headroom
}

// SetLimits changes rate and burst. Tokens in use stay in use.
func (b *Bucket) SetLimits(now time.Time, limits Limits) {
	if limits == b.limits {
		return
	}
	// The change happened at an unknown time since the last update, so the lower rate counts for that interval.
	b.limits.Rate = min(b.limits.Rate, limits.Rate)
	b.refill(now)
	b.limits = limits
}

// Charge takes tokens for id. A repeated charge gets the earlier answer. If replaces is not nil, that charge is refunded
// in full first, whether or not the new one is granted.
func (b *Bucket) Charge(now time.Time, id *wirev1.CallID, tokens uint64, replaces *wirev1.CallID) Decision {
	b.refill(now)
	b.purge(now)
	key := idOf(id)
	if known, ok := b.charges[key]; ok {
		if known.settled {
			return Decision{Reason: wirev1.Reason_REASON_BARRED}
		}
		return Decision{Granted: true, Repeated: true}
	}
	if replaces != nil {
		b.settle(now, idOf(replaces), 0)
	}
	capacity := b.limits.Capacity()
	amount := float64(tokens)
	if amount > capacity {
		return Decision{Reason: wirev1.Reason_REASON_REQUEST_TOO_LARGE_FOR_BURST}
	}
	if missing := b.headroom + amount - capacity; missing > 0 {
		return Decision{Reason: wirev1.Reason_REASON_RATE_EXCEEDED, RetryAfter: b.timeFor(missing)}
	}
	b.push(&charge{id: key, tokens: tokens, at: now}, b.tail+amount)
	b.tail = 0
	b.headroom += amount
	return Decision{Granted: true}
}

// Decision is the answer to a charge.
type Decision struct {
	Granted bool
	// Repeated means that the grant was given earlier for the same ID.
	Repeated   bool
	Reason     wirev1.Reason
	RetryAfter time.Duration
}

// Settle ends a charge and refunds what was not used. An unknown ID is remembered, so that a charge that arrives after
// its settlement is not granted.
func (b *Bucket) Settle(now time.Time, id *wirev1.CallID, used uint64) {
	b.refill(now)
	b.purge(now)
	b.settle(now, idOf(id), used)
}

// undo removes a charge whose grant was not answered, so that the same ID can be charged again.
func (b *Bucket) undo(id *wirev1.CallID) {
	key := idOf(id)
	c, ok := b.charges[key]
	if !ok || c.settled {
		return
	}
	b.release(c, float64(c.tokens))
	delete(b.charges, key)
}

func (b *Bucket) timeFor(missing float64) time.Duration {
	if b.limits.Rate == 0 {
		return 0
	}
	seconds := missing / float64(b.limits.Rate)
	return time.Duration(min(seconds, time.Hour.Seconds()) * float64(time.Second))
}

func (b *Bucket) refill(now time.Time) {
	elapsed := now.Sub(b.updated)
	if elapsed <= 0 {
		return
	}
	b.updated = now
	amount := elapsed.Seconds() * float64(b.limits.Rate)
	fromTail := min(amount, b.tail)
	b.tail -= fromTail
	b.headroom -= fromTail
	b.consume(b.last, amount-fromTail)
	if b.tail == 0 && b.last == b.root {
		b.headroom = 0 // clears rounding errors
	}
}

// consume removes up to amount from p and the pieces before it, newest first.
func (b *Bucket) consume(p *piece, amount float64) {
	for amount > 0 && p != b.root {
		older := p.prev
		take := min(amount, p.tokens)
		p.tokens -= take
		b.headroom -= take
		amount -= take
		if p.tokens == 0 {
			p.merged = older
			older.members += p.members
			b.unlink(p)
		}
		p = older
	}
}

func (b *Bucket) settle(now time.Time, key chargeID, used uint64) {
	c, ok := b.charges[key]
	if !ok {
		c = &charge{id: key}
		b.charges[key] = c
	} else if c.settled {
		return
	} else {
		b.release(c, float64(c.tokens-min(used, c.tokens)))
	}
	c.settled = true
	c.at = now
	b.settled = append(b.settled, c)
}

// release ends the membership of c and refunds amount.
func (b *Bucket) release(c *charge, amount float64) {
	p := c.piece.find()
	c.piece = nil
	c.settled = true
	b.open--
	b.consume(p, amount)
	p = p.find()
	p.members--
	if p.members > 0 || p == b.root {
		return
	}
	if p.next != nil {
		p.next.tokens += p.tokens
	} else {
		b.tail += p.tokens
	}
	b.unlink(p)
}

func (b *Bucket) push(c *charge, tokens float64) {
	c.piece = b.last
	if tokens > 0 {
		p := &piece{tokens: tokens, prev: b.last}
		b.last.next = p
		b.last = p
		c.piece = p
	}
	c.piece.members++
	b.charges[c.id] = c
	b.outstanding = append(b.outstanding, c)
	b.open++
}

func (b *Bucket) unlink(p *piece) {
	p.prev.next = p.next
	if p.next != nil {
		p.next.prev = p.prev
	} else {
		b.last = p.prev
	}
}

// purge settles charges of ChargeAge as fully used and forgets settled IDs of SettledAge.
func (b *Bucket) purge(now time.Time) {
	for len(b.outstanding) > 0 {
		c := b.outstanding[0]
		if !c.settled && now.Sub(c.at) < ChargeAge {
			break
		}
		if !c.settled {
			b.settle(now, c.id, c.tokens)
		}
		b.outstanding[0] = nil
		b.outstanding = b.outstanding[1:]
	}
	if len(b.outstanding) > 2*b.open+compactAfter {
		b.outstanding = slices.DeleteFunc(b.outstanding, func(c *charge) bool { return c.settled })
	}
	for len(b.settled) > 0 && now.Sub(b.settled[0].at) >= SettledAge {
		delete(b.charges, b.settled[0].id)
		b.settled[0] = nil
		b.settled = b.settled[1:]
	}
}

// state returns the bucket for a handoff.
func (b *Bucket) state(now time.Time, account string) *wirev1.BucketState {
	b.refill(now)
	b.purge(now)
	refundable := make(map[*piece]float64)
	sum := 0.0
	for p := b.root; p != nil; p = p.next {
		sum += p.tokens
		refundable[p] = sum
	}
	state := &wirev1.BucketState{Account: account, LevelTokens: b.limits.Capacity() - b.headroom}
	for _, c := range b.outstanding {
		if c.settled {
			continue
		}
		state.Outstanding = append(state.Outstanding, &wirev1.OutstandingCharge{
			Id: c.id.wire(), Tokens: c.tokens, RefundableTokens: refundable[c.piece.find()],
		})
	}
	return state
}

// restoreBucket returns the bucket described by a handoff. Time in transit adds no tokens.
func restoreBucket(limits Limits, now time.Time, state *wirev1.BucketState) *Bucket {
	b := NewBucket(limits, now, true)
	b.headroom = max(limits.Capacity()-state.GetLevelTokens(), 0)
	sum := 0.0
	for _, o := range state.GetOutstanding() {
		refundable := min(max(o.GetRefundableTokens(), sum), b.headroom)
		b.push(&charge{id: idOf(o.GetId()), tokens: o.GetTokens(), at: now}, refundable-sum)
		sum = refundable
	}
	b.tail = b.headroom - sum
	return b
}
