package engine

import (
	"cmp"
	"slices"
	"time"
)

// Limits of the records that the audit keeps.
const (
	// auditRequests is the number of request IDs kept to detect requests that run twice.
	auditRequests = 200_000
	// auditFinished is the number of finished requests kept.
	auditFinished = 1000
	// auditRecords is the number of token records kept per account.
	auditRecords = 100_000
	// auditRecordPeriod is the period that one token record covers.
	auditRecordPeriod = 100 * time.Millisecond
)

// Audit reports the requests that the engine has processed and the memory that it has allocated.
type Audit struct {
	Role        string   `json:"role"`
	BlocksTotal int      `json:"blocks_total"`
	BlocksHeld  int      `json:"blocks_held"`
	Holders     []Holder `json:"holders"`
	Waiting     []string `json:"waiting"`
	Counts      Counts   `json:"counts"`
	// Finished lists the latest finished requests, oldest first.
	Finished []FinishedRequest `json:"finished"`
	// Accounts holds the token records of each client account, oldest first.
	Accounts map[string][]TokenRecord `json:"accounts"`
	// DoubleRuns lists request IDs that were started more than once for the same kind of work.
	DoubleRuns           []string      `json:"double_runs"`
	Orders               []OrderRecord `json:"orders"`
	HighestFencingNumber uint64        `json:"highest_fencing_number"`
}

// Holder is a request or an export that holds memory.
type Holder struct {
	Request string    `json:"request"`
	Account string    `json:"account"`
	Kind    string    `json:"kind"`
	Blocks  int       `json:"blocks"`
	Since   time.Time `json:"since"`
}

// Counts are totals since the start of the engine.
type Counts struct {
	PrefillsStarted  int `json:"prefills_started"`
	PrefillsFinished int `json:"prefills_finished"`
	// PrefillTokens and RecomputedTokens count the tokens of all prefills and recomputations that were started, including
	// the tokens found in the prefix cache.
	PrefillTokens    int `json:"prefill_tokens"`
	RecomputedTokens int `json:"recomputed_tokens"`
	DecodesStarted   int `json:"decodes_started"`
	DecodesFinished  int `json:"decodes_finished"`
	OutputTokens     int `json:"output_tokens"`
	Failed           int `json:"failed"`
	// NotStarted counts requests that ended before they held memory, for example because the queue was full. Requests that
	// the engine rejects at once, such as those above its decode places, are not counted.
	NotStarted      int `json:"not_started"`
	ExportsCreated  int `json:"exports_created"`
	ExportsImported int `json:"exports_imported"`
	// ExportsReleased counts exports freed by a release call before they were imported.
	ExportsReleased int `json:"exports_released"`
	// ExportsEvicted counts exports evicted at the end of their lifetime without having been imported.
	ExportsEvicted       int `json:"exports_evicted_unused"`
	ExportsEvictedTokens int `json:"exports_evicted_unused_tokens"`
	ExportsAborted       int `json:"exports_aborted"`
	// MismatchedImports counts imports rejected because the export belongs to another prompt.
	MismatchedImports int `json:"mismatched_imports"`
}

// FinishedRequest is a request that completed or failed after it held memory.
type FinishedRequest struct {
	Request string `json:"request"`
	Account string `json:"account"`
	Kind    string `json:"kind"`
	// Error is empty for a completed request.
	Error string    `json:"error,omitempty"`
	At    time.Time `json:"at"`
}

// TokenRecord counts the tokens for one client account, in the same way as Counts, during one auditRecordPeriod that
// starts at At.
type TokenRecord struct {
	At               time.Time `json:"at"`
	PromptTokens     int       `json:"prompt_tokens"`
	OutputTokens     int       `json:"output_tokens"`
	RecomputedTokens int       `json:"recomputed_tokens"`
}

// OrderRecord is an order that the engine has executed.
type OrderRecord struct {
	FencingNumber uint64    `json:"fencing_number"`
	At            time.Time `json:"at"`
}

// runKey identifies a request and its kind of work, to detect one that starts twice.
type runKey struct {
	id   string
	kind string
}

type auditLog struct {
	counts Counts
	// runs holds the latest auditRequests started requests; runOrder holds the same keys, oldest first.
	runs       map[runKey]struct{}
	runOrder   []runKey
	doubleRuns []string
	finished   []FinishedRequest
	accounts   map[string][]TokenRecord
	orders     []OrderRecord
}

func newAuditLog() auditLog {
	return auditLog{runs: make(map[runKey]struct{}), accounts: make(map[string][]TokenRecord)}
}

func (a *auditLog) begin(r *request) {
	if r.kind == kindPrefill {
		a.counts.PrefillsStarted++
	} else {
		a.counts.DecodesStarted++
	}
	if r.id == "" {
		return
	}
	key := runKey{id: r.id, kind: r.kind}
	if _, ran := a.runs[key]; ran {
		a.doubleRuns = append(a.doubleRuns, r.id)
		return
	}
	a.runs[key] = struct{}{}
	a.runOrder = append(a.runOrder, key)
	if len(a.runOrder) > auditRequests {
		delete(a.runs, a.runOrder[0])
		a.runOrder = a.runOrder[1:]
	}
}

func (a *auditLog) end(r *request, err error) {
	f := FinishedRequest{Request: r.id, Account: r.account, Kind: r.kind, At: time.Now()}
	switch {
	case r.waiting:
		a.counts.NotStarted++
		return
	case err != nil:
		f.Error = err.Error()
		a.counts.Failed++
	case r.kind == kindPrefill:
		a.counts.PrefillsFinished++
	default:
		a.counts.DecodesFinished++
	}
	a.finished = appendLimited(a.finished, f, auditFinished)
}

func (a *auditLog) recordExportOutcome(e *export, outcome exportOutcome) {
	switch outcome {
	case exportImported:
		a.counts.ExportsImported++
	case exportReleased:
		a.counts.ExportsReleased++
	case exportEvicted:
		a.counts.ExportsEvicted++
		a.counts.ExportsEvictedTokens += e.info.Tokens
	case exportAborted:
		a.counts.ExportsAborted++
	}
}

// currentRecord returns the token record that covers the current time, and adds it if there is none yet.
func (a *auditLog) currentRecord(account string) *TokenRecord {
	now := time.Now()
	records := a.accounts[account]
	if n := len(records); n == 0 || now.Sub(records[n-1].At) >= auditRecordPeriod {
		records = appendLimited(records, TokenRecord{At: now}, auditRecords)
		a.accounts[account] = records
	}
	return &records[len(records)-1]
}

func appendLimited[T any](list []T, item T, limit int) []T {
	list = append(list, item)
	if len(list) > limit {
		list = list[len(list)-limit:]
	}
	return list
}

func (c *Core) recordPrefill(r *request, tokens int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.audit.counts.PrefillTokens += tokens
	c.audit.currentRecord(r.account).PromptTokens += tokens
}

func (c *Core) recordRecompute(r *request, tokens int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.audit.counts.RecomputedTokens += tokens
	c.audit.currentRecord(r.account).RecomputedTokens += tokens
}

func (c *Core) recordOutput(r *request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.audit.counts.OutputTokens++
	c.audit.currentRecord(r.account).OutputTokens++
}

func (c *Core) recordMismatch() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.audit.counts.MismatchedImports++
}

// Audit returns a snapshot of the audit data.
func (c *Core) Audit() *Audit {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := &Audit{
		Role:                 c.role.String(),
		BlocksTotal:          c.cfg.MemoryBlocks,
		BlocksHeld:           c.blocksHeld,
		Counts:               c.audit.counts,
		Finished:             slices.Clone(c.audit.finished),
		Accounts:             make(map[string][]TokenRecord, len(c.audit.accounts)),
		DoubleRuns:           slices.Clone(c.audit.doubleRuns),
		Orders:               slices.Clone(c.audit.orders),
		HighestFencingNumber: c.highestFencingNumber,
	}
	for account, records := range c.audit.accounts {
		a.Accounts[account] = slices.Clone(records)
	}
	for r := range c.requests {
		if r.waiting {
			a.Waiting = append(a.Waiting, r.id)
			continue
		}
		a.Holders = append(a.Holders, Holder{Request: r.id, Account: r.account, Kind: r.kind, Blocks: r.blocks, Since: r.started})
	}
	for _, e := range c.exports {
		a.Holders = append(a.Holders, Holder{Request: e.request, Account: e.account, Kind: kindExport, Blocks: e.blocks, Since: e.created})
	}
	slices.Sort(a.Waiting)
	slices.SortFunc(a.Holders, func(x, y Holder) int {
		return cmp.Or(x.Since.Compare(y.Since), cmp.Compare(x.Request, y.Request))
	})
	return a
}
