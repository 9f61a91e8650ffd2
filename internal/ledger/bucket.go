package ledger

import (
	"slices"
	"time"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/transport"
)

const (
	// ChargeExpiry is the age at which an outstanding charge is settled as fully used.
	ChargeExpiry = 15 * time.Minute
	// SettledRetention is how long the ID of a settled charge is kept, so that a delayed duplicate of the charge is not
	// granted again.
	SettledRetention = time.Minute

	// compactThreshold is how far the length of Bucket.outstanding may exceed twice the number of unsettled charges before
	// settled charges are removed that are behind an older unsettled one.
	compactThreshold = 64
)

// Limits are the rate in tokens per second and the burst in tokens of a client account.
type Limits struct{ Rate, Burst uint64 }

const (
	// MaxChargeAge is the age up to which a caller may start work on an earlier charge with a nonce issued after it.
	MaxChargeAge = 500 * time.Millisecond
	// MaxStartDelay is the maximum time between a charge and the start of its work: work starts only with a nonce that is
	// younger than transport.FenceWindow.
	MaxStartDelay = MaxChargeAge + transport.FenceWindow
)

// Capacity returns the bucket capacity in tokens. It is less than the burst by the tokens that refill in MaxStartDelay:
// work may start up to MaxStartDelay after its charge, when the bucket has already been refilled and charged again.
func (l Limits) Capacity() float64 {
	capacity := float64(l.Burst) - float64(l.Rate)*MaxStartDelay.Seconds()
	return max(capacity, 0)
}

// chargeID is a wirev1.CallID in a form that can be a map key.
type chargeID struct{ incarnation, sequence uint64 }

func toChargeID(id *wirev1.CallID) chargeID {
	return chargeID{incarnation: id.GetIncarnation(), sequence: id.GetSequence()}
}

func (id chargeID) wire() *wirev1.CallID {
	return &wirev1.CallID{Incarnation: id.incarnation, Sequence: id.sequence}
}

// Bucket is the token bucket of one account. Its level always equals that of a bucket that had been charged the settled
// amounts in the first place. It is not safe for concurrent use.
//
// The deficit (capacity - level) is split into segments, ordered by the charges that caused them. Refill reduces the
// newest segments first. A refund reduces the segment of its own charge and then older ones, newest first, so that tokens
// already restored by refill are not restored again. Limiting each refund to the minimum deficit since its charge would
// not be enough with several refunds outstanding, because one refund also lowers the past deficits that limit the others.
type Bucket struct {
	limits  Limits
	updated time.Time
	deficit float64
	// tail is the part of the deficit that is newer than the last outstanding charge.
	tail float64
	// sentinel is the oldest segment; its tokens are always 0. last is the newest one.
	sentinel, last *segment

	charges     map[chargeID]*charge
	outstanding []*charge // oldest first; may contain settled charges
	unsettled   int       // number of outstanding charges that are not settled
	settled     []*charge // oldest settlement first
}

// segment is the part of the deficit between two consecutive groups of outstanding charges. Charges with no deficit between
// them share a segment.
type segment struct {
	tokens      float64
	chargeCount int
	prev, next  *segment
	mergedInto  *segment // older segment that this one was merged into
}

// find follows mergedInto to the segment that is still in the list, and shortens the path to it.
func (s *segment) find() *segment {
	root := s
	for root.mergedInto != nil {
		root = root.mergedInto
	}
	for s.mergedInto != nil {
		s, s.mergedInto = s.mergedInto, root
	}
	return root
}

type charge struct {
	id        chargeID
	tokens    uint64
	changedAt time.Time // time of the charge, then of its settlement
	segment   *segment
	settled   bool
}

// NewBucket returns a bucket that starts full or empty.
func NewBucket(limits Limits, now time.Time, full bool) *Bucket {
	root := &segment{}
	b := &Bucket{limits: limits, updated: now, sentinel: root, last: root, charges: make(map[chargeID]*charge)}
	if !full {
		b.tail = limits.Capacity()
		b.deficit = b.tail
	}
	return b
}

// Level returns the number of tokens that can be charged now. It is negative if the burst was lowered by more than the
// previous level.
func (b *Bucket) Level(now time.Time) float64 {
	b.refill(now)
	return b.limits.Capacity() - b.deficit
}

// SetLimits changes the rate and burst and leaves the deficit as it is.
func (b *Bucket) SetLimits(now time.Time, limits Limits) {
	if limits == b.limits {
		return
	}
	// The limits changed at an unknown time since the last update, so that interval is refilled at the lower rate.
	b.limits.Rate = min(b.limits.Rate, limits.Rate)
	b.refill(now)
	b.limits = limits
}

// Charge takes tokens from the bucket for the call id. A repeated charge is granted again without taking tokens, unless it
// has been settled. If replaces is not nil, that charge is first refunded in full, whether or not the new one is granted.
func (b *Bucket) Charge(now time.Time, id *wirev1.CallID, tokens uint64, replaces *wirev1.CallID) Decision {
	b.refill(now)
	b.purge(now)
	key := toChargeID(id)
	if known, ok := b.charges[key]; ok {
		if known.settled {
			return Decision{Reason: wirev1.Reason_REASON_BARRED}
		}
		return Decision{Granted: true, Repeated: true}
	}
	if replaces != nil {
		b.settle(now, toChargeID(replaces), 0)
	}
	capacity := b.limits.Capacity()
	amount := float64(tokens)
	if amount > capacity {
		return Decision{Reason: wirev1.Reason_REASON_REQUEST_TOO_LARGE_FOR_BURST}
	}
	if missing := b.deficit + amount - capacity; missing > 0 {
		return Decision{Reason: wirev1.Reason_REASON_RATE_EXCEEDED, RetryAfter: b.refillTime(missing)}
	}
	b.addCharge(&charge{id: key, tokens: tokens, changedAt: now}, b.tail+amount)
	b.tail = 0
	b.deficit += amount
	return Decision{Granted: true}
}

// Decision is the result of a charge.
type Decision struct {
	Granted bool
	// Repeated means that an earlier charge with the same ID was granted.
	Repeated   bool
	Reason     wirev1.Reason
	RetryAfter time.Duration
}

// Settle ends a charge and refunds its unused tokens. The ID is recorded even if it is unknown, so that a charge that
// arrives after its settlement is not granted.
func (b *Bucket) Settle(now time.Time, id *wirev1.CallID, used uint64) {
	b.refill(now)
	b.purge(now)
	b.settle(now, toChargeID(id), used)
}

// undo removes a charge whose grant was not returned to the caller, so that the same ID can be charged again.
func (b *Bucket) undo(id *wirev1.CallID) {
	key := toChargeID(id)
	c, ok := b.charges[key]
	if !ok || c.settled {
		return
	}
	b.closeCharge(c, float64(c.tokens))
	delete(b.charges, key)
}

// refillTime returns the time in which missing tokens are refilled, at most an hour; 0 if the rate is 0.
func (b *Bucket) refillTime(missing float64) time.Duration {
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
	b.deficit -= fromTail
	b.consume(b.last, amount-fromTail)
	if b.tail == 0 && b.last == b.sentinel {
		b.deficit = 0 // clears rounding errors
	}
}

// consume removes up to amount from s and the segments before it, newest first, and merges emptied segments into their
// predecessors.
func (b *Bucket) consume(s *segment, amount float64) {
	for amount > 0 && s != b.sentinel {
		older := s.prev
		take := min(amount, s.tokens)
		s.tokens -= take
		b.deficit -= take
		amount -= take
		if s.tokens == 0 {
			s.mergedInto = older
			older.chargeCount += s.chargeCount
			b.unlink(s)
		}
		s = older
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
		b.closeCharge(c, float64(c.tokens-min(used, c.tokens)))
	}
	c.settled = true
	c.changedAt = now
	b.settled = append(b.settled, c)
}

// closeCharge refunds amount and removes c from its segment. The remaining tokens of a segment without charges go to the
// next newer segment.
func (b *Bucket) closeCharge(c *charge, amount float64) {
	s := c.segment.find()
	c.segment = nil
	c.settled = true
	b.unsettled--
	b.consume(s, amount)
	s = s.find()
	s.chargeCount--
	if s.chargeCount > 0 || s == b.sentinel {
		return
	}
	if s.next != nil {
		s.next.tokens += s.tokens
	} else {
		b.tail += s.tokens
	}
	b.unlink(s)
}

// addCharge adds an outstanding charge and, if tokens is above 0, a segment of that size for it.
func (b *Bucket) addCharge(c *charge, tokens float64) {
	c.segment = b.last
	if tokens > 0 {
		s := &segment{tokens: tokens, prev: b.last}
		b.last.next = s
		b.last = s
		c.segment = s
	}
	c.segment.chargeCount++
	b.charges[c.id] = c
	b.outstanding = append(b.outstanding, c)
	b.unsettled++
}

func (b *Bucket) unlink(s *segment) {
	s.prev.next = s.next
	if s.next != nil {
		s.next.prev = s.prev
	} else {
		b.last = s.prev
	}
}

// purge settles charges older than ChargeExpiry as fully used and removes IDs settled longer ago than SettledRetention.
func (b *Bucket) purge(now time.Time) {
	for len(b.outstanding) > 0 {
		c := b.outstanding[0]
		if !c.settled && now.Sub(c.changedAt) < ChargeExpiry {
			break
		}
		if !c.settled {
			b.settle(now, c.id, c.tokens)
		}
		b.outstanding[0] = nil
		b.outstanding = b.outstanding[1:]
	}
	if len(b.outstanding) > 2*b.unsettled+compactThreshold {
		b.outstanding = slices.DeleteFunc(b.outstanding, func(c *charge) bool { return c.settled })
	}
	for len(b.settled) > 0 && now.Sub(b.settled[0].changedAt) >= SettledRetention {
		delete(b.charges, b.settled[0].id)
		b.settled[0] = nil
		b.settled = b.settled[1:]
	}
}

// state returns the state of the bucket for a handoff.
func (b *Bucket) state(now time.Time, account string) *wirev1.BucketState {
	b.refill(now)
	b.purge(now)
	refundable := make(map[*segment]float64)
	sum := 0.0
	for s := b.sentinel; s != nil; s = s.next {
		sum += s.tokens
		refundable[s] = sum
	}
	state := &wirev1.BucketState{Account: account, LevelTokens: b.limits.Capacity() - b.deficit}
	for _, c := range b.outstanding {
		if c.settled {
			continue
		}
		state.Outstanding = append(state.Outstanding, &wirev1.OutstandingCharge{
			Id: c.id.wire(), Tokens: c.tokens, RefundableTokens: refundable[c.segment.find()],
		})
	}
	return state
}

// restoreBucket returns a bucket with the state from a handoff. No tokens are refilled for the time in transit.
func restoreBucket(limits Limits, now time.Time, state *wirev1.BucketState) *Bucket {
	b := NewBucket(limits, now, true)
	b.deficit = max(limits.Capacity()-state.GetLevelTokens(), 0)
	sum := 0.0
	for _, o := range state.GetOutstanding() {
		refundable := min(max(o.GetRefundableTokens(), sum), b.deficit)
		b.addCharge(&charge{id: toChargeID(o.GetId()), tokens: o.GetTokens(), changedAt: now}, refundable-sum)
		sum = refundable
	}
	b.tail = b.deficit - sum
	return b
}
