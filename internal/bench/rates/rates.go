// Package rates compares ways to hold client accounts to their rate and burst over several entry processes. It plays requests in
// simulated time against the ledger's own bucket.
package rates

import (
	"container/heap"
	"math/rand/v2"
	"time"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/ledger"
	"github.com/fulmardoor/fulmardoor/internal/transport"
)

// Policy is a way to hold accounts to their rate and burst over several entry processes.
type Policy int

const (
	// Owner is the product's: one bucket for each account at its owner.
	Owner Policy = iota
	// EqualShares gives each entry process an equal share of rate and burst.
	EqualShares
	// StoreCall asks the key-value service for each request.
	StoreCall
)

// String names the policy in the table.
func (p Policy) String() string {
	return [...]string{"owner", "equal shares", "store call"}[p]
}

// Scenario is a workload on the ledger.
type Scenario struct {
	Name    string
	Entries int
	// RequestsPerSecond over all accounts.
	RequestsPerSecond float64
	// Use is the share of its rate that each account asks for.
	Use float64
	// Favourite is the share of an account's requests that go to one entry process, as a balancer with sticky connections has it.
	Favourite float64
	Duration  time.Duration
	// OutageFrom and OutageFor is the time without the key-value service.
	OutageFrom, OutageFor time.Duration
	// OwnerDies is the time at which the owner of all accounts dies; zero for never.
	OwnerDies time.Duration
}

const (
	accounts   = 5
	promptMean = 3000
	maxOutput  = 256
	output     = 60
	answerTime = 3 * time.Second
	// burstSeconds is the burst in seconds of rate.
	burstSeconds = 20
	// storeWritesPerSecond is what the key-value service takes.
	storeWritesPerSecond = 300
	// takeoverTime is the time without an owner after its death.
	takeoverTime = ledger.PromiseTerm + ledger.TakeoverWait + time.Second
)

// Result counts requests that an ideal central bucket with the full burst grants.
type Result struct {
	WithinRate int
	// Refused counts those of them that the policy refused.
	Refused int
}

// Share returns the share of requests within rate that were refused.
func (r Result) Share() float64 { return float64(r.Refused) / float64(max(1, r.WithinRate)) }

// settlement is a charge whose request ends at a time.
type settlement struct {
	at     time.Time
	bucket *ledger.Bucket
	id     *wirev1.CallID
	used   uint64
}

type settlements []settlement

func (s settlements) Len() int           { return len(s) }
func (s settlements) Less(i, j int) bool { return s[i].at.Before(s[j].at) }
func (s settlements) Swap(i, j int)      { s[i], s[j] = s[j], s[i] }
func (s *settlements) Push(x any)        { *s = append(*s, x.(settlement)) }
func (s *settlements) Pop() any {
	old := *s
	last := old[len(old)-1]
	*s = old[:len(old)-1]
	return last
}

// run is one policy on one scenario.
type run struct {
	policy    Policy
	scenario  Scenario
	start     time.Time
	random    *rand.Rand
	limits    ledger.Limits
	ideal     []*ledger.Bucket
	buckets   [][]*ledger.Bucket // by account and entry; one entry for a central bucket
	ends      settlements
	calls     uint64
	writes    float64 // tokens of the store's own limit
	writesAt  time.Time
	takenOver bool
	result    Result
}

// Run plays a scenario in simulated time; the same seed gives the same result.
func Run(policy Policy, scenario Scenario, seed uint64) Result {
	r := &run{policy: policy, scenario: scenario, start: time.Unix(0, 0), random: rand.New(rand.NewPCG(seed, 5))}
	mean := float64(promptMean + output)
	perAccount := scenario.RequestsPerSecond / accounts * mean / scenario.Use
	r.limits = ledger.Limits{Rate: uint64(perAccount), Burst: uint64(burstSeconds * perAccount)}
	r.writesAt = r.start
	r.makeBuckets()
	now := r.start
	for now.Sub(r.start) < scenario.Duration {
		now = now.Add(time.Duration(r.random.ExpFloat64() / scenario.RequestsPerSecond * float64(time.Second)))
		r.settleUntil(now)
		r.request(now)
	}
	return r.result
}

func (r *run) makeBuckets() {
	// The ideal bucket has the full burst, although the ledger's buckets hold some of it back.
	full := r.limits
	full.Burst += uint64(float64(full.Rate) * ledger.StartSlack.Seconds())
	for range accounts {
		r.ideal = append(r.ideal, ledger.NewBucket(full, r.start, true))
		count, limits := 1, r.limits
		switch r.policy {
		case EqualShares:
			count = r.scenario.Entries
			limits = ledger.Limits{Rate: r.limits.Rate / uint64(count), Burst: r.limits.Burst / uint64(count)}
		case StoreCall:
			limits = full // the store is the one place where tokens are counted
		}
		var buckets []*ledger.Bucket
		for range count {
			buckets = append(buckets, ledger.NewBucket(limits, r.start, true))
		}
		r.buckets = append(r.buckets, buckets)
	}
}

func (r *run) settleUntil(now time.Time) {
	for len(r.ends) > 0 && !r.ends[0].at.After(now) {
		end := heap.Pop(&r.ends).(settlement)
		end.bucket.Settle(end.at, end.id, end.used)
	}
}

func (r *run) request(now time.Time) {
	account := r.random.IntN(accounts)
	entry := account % r.scenario.Entries
	if r.random.Float64() > r.scenario.Favourite {
		entry = r.random.IntN(r.scenario.Entries)
	}
	prompt := uint64(promptMean/2 + r.random.IntN(promptMean))
	granted := r.grant(now, account, entry, prompt)
	if !r.charge(r.ideal[account], now, prompt) {
		return
	}
	r.result.WithinRate++
	if !granted {
		r.result.Refused++
	}
}

// grant asks the policy.
func (r *run) grant(now time.Time, account, entry int, prompt uint64) bool {
	since := now.Sub(r.start)
	bucket := r.buckets[account][entry%len(r.buckets[account])]
	switch r.policy {
	case StoreCall:
		down := since >= r.scenario.OutageFrom && since < r.scenario.OutageFrom+r.scenario.OutageFor
		if down || !r.storeWrite(now) {
			return false
		}
	case Owner:
		if died := r.scenario.OwnerDies; died > 0 && since >= died {
			if since < died+takeoverTime {
				return false
			}
			r.takeOver(now)
			bucket = r.buckets[account][0]
		}
	}
	return r.charge(bucket, now, prompt)
}

// takeOver gives the new owner empty buckets, once.
func (r *run) takeOver(now time.Time) {
	if r.takenOver {
		return
	}
	r.takenOver = true
	for i := range r.buckets {
		r.buckets[i] = []*ledger.Bucket{ledger.NewBucket(r.limits, now, false)}
	}
}

// storeWrite takes one of the store's writes of this moment.
func (r *run) storeWrite(now time.Time) bool {
	r.writes = min(storeWritesPerSecond, r.writes+now.Sub(r.writesAt).Seconds()*storeWritesPerSecond)
	r.writesAt = now
	if r.writes < 1 {
		return false
	}
	r.writes--
	return true
}

// charge takes prompt and the longest output, and gives the unused part back when the answer ends.
func (r *run) charge(bucket *ledger.Bucket, now time.Time, prompt uint64) bool {
	r.calls++
	id := &wirev1.CallID{Incarnation: transport.ProtocolVersion, Sequence: r.calls}
	if !bucket.Charge(now, id, prompt+maxOutput, nil).Granted {
		return false
	}
	heap.Push(&r.ends, settlement{at: now.Add(answerTime), bucket: bucket, id: id, used: prompt + output})
	return true
}
