package ledger

import (
	"context"
	"math"
	"math/rand"
	"sync"
	"testing"
	"time"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/verdict"
	"github.com/fulmardoor/fulmardoor/internal/wait"
)

// receiver stands for the upstreams: it starts work and records what each account received.
type receiver struct {
	mu      sync.Mutex // guards the fields below
	grants  map[string][]grant
	refused map[wirev1.Reason]int
	stale   int
}

func newReceiver() *receiver {
	return &receiver{grants: make(map[string][]grant), refused: make(map[wirev1.Reason]int)}
}

// start begins work unless the nonce is too old, and returns the index of its grant.
func (r *receiver) start(account string, issued time.Time, tokens uint64) (index int, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Since(issued) > StartSlack {
		r.stale++
		return 0, false
	}
	r.grants[account] = append(r.grants[account], grant{at: time.Now(), tokens: float64(tokens)})
	return len(r.grants[account]) - 1, true
}

func (r *receiver) settle(account string, index int, used uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.grants[account][index].tokens = float64(used)
}

func (r *receiver) refuse(reason wirev1.Reason) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refused[reason]++
}

func (r *receiver) count(account string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.grants[account])
}

// check returns the worst excess over all accounts.
func (r *receiver) check(limits limitTable) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	worst := math.Inf(-1)
	for account, grants := range r.grants {
		l := limits[account]
		worst = max(worst, excess(grants, float64(l.Burst), float64(l.Rate)))
	}
	return worst
}

// client sends requests of one account through one entry process.
type client struct {
	fleet     *fleet
	receiver  *receiver
	random    *rand.Rand
	entry     string
	account   string
	maxTokens uint64
	gap       time.Duration // mean time between requests
	hold      time.Duration // longest time between the grant and the start of the work
	align     bool          // most work starts at a multiple of StartSlack, which is the worst that an entry may do
	settles   bool
}

// steadyClient sends 100 tokens on average every 400 ms: at three nodes it uses three quarters of a rate of 1000.
var steadyClient = client{maxTokens: 200, gap: 400 * time.Millisecond, settles: true}

// run sends requests until ctx ends.
func (c *client) run(ctx context.Context) {
	var running sync.WaitGroup
	for ctx.Err() == nil {
		wait.For(ctx, time.Duration(c.random.Int63n(int64(2*c.gap))))
		node := c.fleet.node(c.entry)
		if node == nil {
			continue
		}
		id := c.fleet.id()
		tokens := uint64(c.random.Int63n(int64(c.maxTokens))) + 1
		used := uint64(c.random.Int63n(int64(tokens) + 1))
		hold := time.Duration(c.random.Int63n(int64(c.hold) + 1))
		if c.align && c.random.Intn(8) > 0 {
			hold = -1
		}
		work := time.Duration(c.random.Int63n(int64(4 * time.Second)))
		running.Go(func() { c.request(node, id, tokens, used, hold, work) })
	}
	running.Wait()
}

func (c *client) request(node *Node, id *wirev1.CallID, tokens, used uint64, hold, work time.Duration) {
	issued := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	err := node.Charge(ctx, id, c.account, tokens, nil)
	c.fleet.net.hold(c.entry)
	if err != nil {
		c.receiver.refuse(verdict.As(err).Reason)
		return
	}
	if hold < 0 {
		hold = time.Until(time.Now().Truncate(StartSlack).Add(StartSlack))
	}
	time.Sleep(min(hold, time.Until(issued.Add(StartSlack))))
	index, ok := c.receiver.start(c.account, issued, tokens)
	if !ok {
		node.Settle(id, c.account, 0)
		return
	}
	if !c.settles {
		return
	}
	time.Sleep(work)
	c.fleet.net.hold(c.entry)
	c.receiver.settle(c.account, index, used)
	node.Settle(id, c.account, used)
}

// load runs a client for each account at each entry process and returns a function that ends them.
func load(f *fleet, r *receiver, seed int64, template client, entries ...string) (stop func()) {
	ctx, cancel := context.WithCancel(f.ctx)
	var wait sync.WaitGroup
	for _, entry := range entries {
		for account := range f.limits {
			seed++
			c := template
			c.fleet, c.receiver, c.entry, c.account = f, r, entry, account
			c.random = rand.New(rand.NewSource(seed))
			wait.Go(func() { c.run(ctx) })
		}
	}
	return func() {
		cancel()
		wait.Wait()
	}
}

// awaitOwner waits until a node grants for a shard.
func awaitOwner(t *testing.T, f *fleet, shard int, limit time.Duration) string {
	t.Helper()
	begun := time.Now()
	for time.Since(begun) < limit {
		if owner := f.owner(shard); owner != "" {
			return owner
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("no owner of shard %d within %v", shard, limit)
	return ""
}
