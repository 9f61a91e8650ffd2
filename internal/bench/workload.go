package bench

import (
	"math"
	"math/rand/v2"
	"sort"
	"sync"
	"time"
)

const (
	// meanPrompt is the mean prompt length in tokens.
	meanPrompt = 8000
	minPrompt  = 64
	maxPrompt  = 32000
	// promptSpread is the standard deviation of the logarithm of the prompt length.
	promptSpread = 0.7
	// documents is the number of shared prompt beginnings of an account, of 1 to maxDocumentBlocks blocks.
	documents         = 12
	maxDocumentBlocks = 4
)

// accountShares are the shares of the offered load: a few accounts are large.
var accountShares = []float64{0.3, 0.25, 0.2, 0.15, 0.1}

// excessAccount is the account that sends five times its share.
const excessAccount = 2

// Call is one request of a caller.
type Call struct {
	At      time.Duration
	Account int
	Entry   int
	Prompt  int
	Blocks  []uint64
	Output  int
	// CancelAfter is the time after which the caller goes away; zero for never.
	CancelAfter time.Duration
}

// cost is the true cost in tokens.
func (c *Call) cost() float64 {
	return float64(c.Prompt + c.Output)
}

// Load describes what the callers send.
type Load struct {
	// Factor is the offered load as a multiple of capacity.
	Factor float64
	// Excess lets one account send five times its share, and the others nine tenths of theirs.
	Excess bool
	// CancelShare of the calls are cancelled within the first three seconds.
	CancelShare float64
	// Duration is the measured time.
	Duration time.Duration
	Seed     uint64
}

// tail is how long the load goes on after the measured time, so that the calls of that time end under the same load.
// Without it, a backlog at its end would be served at leisure.
func (d Deployment) tail() time.Duration {
	return time.Duration(d.Patience*float64(firstTokenTarget)) + 5*time.Second
}

// generate returns the calls in order of time.
func generate(d Deployment, load Load) []*Call {
	var calls []*Call
	for account, share := range accountShares {
		random := rand.New(rand.NewPCG(load.Seed, uint64(account)))
		rate := d.Capacity() * share * load.Factor
		if load.Excess && account == excessAccount {
			rate = d.Capacity() * share * 5
		}
		at := 0.0
		for {
			at += random.ExpFloat64() / rate
			if at >= (load.Duration + d.tail()).Seconds() {
				break
			}
			call := newCall(random, account)
			call.At = time.Duration(at * float64(time.Second))
			call.Entry = random.IntN(d.Entries)
			if random.Float64() < load.CancelShare {
				call.CancelAfter = time.Duration((0.02 + 3*random.Float64()) * float64(time.Second))
			}
			calls = append(calls, call)
		}
	}
	sort.Slice(calls, func(i, j int) bool { return calls[i].At < calls[j].At })
	return calls
}

// meanUncached returns the mean number of prompt tokens outside the shared beginnings.
func meanUncached() float64 {
	random := rand.New(rand.NewPCG(1, 1))
	const samples = 20000
	sum := 0
	for range samples {
		call := newCall(random, 0)
		sum += call.Prompt
		for _, b := range call.Blocks {
			if b>>32 == 1 {
				sum -= blockTokens
			}
		}
	}
	return float64(sum) / samples
}

func newCall(random *rand.Rand, account int) *Call {
	mu := math.Log(meanPrompt) - promptSpread*promptSpread/2
	length := int(math.Exp(mu + promptSpread*random.NormFloat64()))
	call := &Call{Account: account, Prompt: min(maxPrompt, max(minPrompt, length))}
	call.Output = min(maxOutput, 1+int(random.ExpFloat64()*meanOutput*1.12))
	document := uint64(math.Pow(float64(documents), random.Float64())) // small numbers are the popular ones
	shared := 1 + int(document)%maxDocumentBlocks
	for i := range call.Prompt / blockTokens {
		hash := random.Uint64()
		if i < shared {
			hash = uint64(account+1)<<32 | document<<8 | uint64(i)
		}
		call.Blocks = append(call.Blocks, hash)
	}
	return call
}

// ledger is a fake of the fleet's token buckets. Unlike the product's, its buckets admit a call while they are not empty
// and go into debt. A bucket without debt lets small prompts through while it refuses large ones, and the admitted calls
// then need more decode place time than the granted tokens stand for.
type ledger struct {
	mu    sync.Mutex
	rate  []float64
	level []float64
	// offered are buckets that every call is taken from, refused or not: they tell which calls are within rate.
	offered []float64
	last    time.Time
}

const burstSeconds = 4

// newLedger grants each account its share of capacity times the factor, with four seconds of burst. The buckets start
// empty, as those of accounts over their rate are in the long run.
func newLedger(d Deployment, factor float64) *ledger {
	l := &ledger{last: time.Now()}
	for _, share := range accountShares {
		rate := d.Capacity() * share * factor * (meanPrompt + meanOutput)
		l.rate = append(l.rate, rate)
	}
	l.level = make([]float64, len(l.rate))
	l.offered = make([]float64, len(l.rate))
	return l
}

func (l *ledger) refillLocked() {
	passed := time.Since(l.last).Seconds()
	l.last = time.Now()
	for i, rate := range l.rate {
		l.level[i] = min(rate*burstSeconds, l.level[i]+rate*passed)
		l.offered[i] = min(rate*burstSeconds, l.offered[i]+rate*passed)
	}
}

// conforms reports whether a call is within the rate of its account.
func (l *ledger) conforms(call *Call) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refillLocked()
	if l.offered[call.Account] <= 0 {
		return false
	}
	l.offered[call.Account] -= call.cost()
	return true
}

func (l *ledger) charge(account int, tokens float64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refillLocked()
	if l.level[account] <= 0 {
		return false
	}
	l.level[account] -= tokens
	return true
}

func (l *ledger) refund(account int, tokens float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.level[account] = min(l.rate[account]*burstSeconds, l.level[account]+tokens)
}
