package entry

import (
	"net/http"
	"strings"
	"sync"
	"time"

	configv1 "github.com/fulmardoor/fulmardoor/api/config/v1"
	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/confsync"
	"github.com/fulmardoor/fulmardoor/internal/events"
	"github.com/fulmardoor/fulmardoor/internal/metrics"
	"github.com/fulmardoor/fulmardoor/internal/openai"
	"github.com/fulmardoor/fulmardoor/internal/prefix"
	"github.com/fulmardoor/fulmardoor/internal/retry"
	"github.com/fulmardoor/fulmardoor/internal/verdict"
	"github.com/fulmardoor/fulmardoor/internal/wait"
)

const (
	// replanInterval is the time between two attempts to find an upstream that accepts work, or to draw from the retry budget.
	replanInterval = 100 * time.Millisecond
	// finishLength is the finish reason of a response that reached max_tokens.
	finishLength = "length"
	// maxStreamGap is the longest gap in a started stream while the request waits for another engine.
	maxStreamGap = 10 * time.Second
)

// completion is one request to a model.
type completion struct {
	*request
	model  *configv1.Document_Model
	params *openai.Request
	writer *openai.Writer
	w      http.ResponseWriter

	promptTokens int
	maxTokens    int

	// mu guards the fields below while a call runs, because a mover reads them.
	mu sync.Mutex
	// delivered are the output tokens that were sent to the caller.
	delivered   []string
	firstToken  time.Time
	lastToken   time.Time
	tokenGapSum time.Duration
	// replacement is set when the request is moved from a silent engine; moved forbids to deliver tokens of that engine.
	replacement *replacement
	moved       bool
}

// serveCompletion handles requests of the completions or the chat API.
func (e *Entry) serveCompletion(kind openai.Kind) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		req := e.newRequest(w, r)
		defer req.finishBody(w, r)
		defer req.close()
		c, err := e.prepareCompletion(kind, req, w, r)
		if err != nil {
			e.writeRefusal(w, req.name, err)
			return
		}
		weight := e.weight(req.caller.account)
		if err := e.admission.acquire(req.ctx, req.caller.account, weight, float64(c.chargeTokens()), c.firstTokenLimit()); err != nil {
			c.fail(c.cancelCause(err))
			return
		}
		defer e.admission.release()
		go e.watchKey(req.ctx, req.caller, req.cancel)
		c.serve()
	}
}

// prepareCompletion makes the checks that come before any work: configuration, key, body and model.
func (e *Entry) prepareCompletion(
	kind openai.Kind, req *request, w http.ResponseWriter, r *http.Request,
) (*completion, error) {
	if err := e.conf.Admit(); err != nil {
		return nil, err
	}
	snapshot := e.conf.Current()
	// A request with a wrong key is refused before its body is read, so that its caller cannot make the process read or parse
	// one. A missing key is refused only after the body is parsed if there are models that are open to callers without a key,
	// because the body names the model.
	identified, keyErr := identify(snapshot, r, false)
	if keyErr != nil && (verdict.As(keyErr).Reason != wirev1.Reason_REASON_KEY_MISSING || !snapshot.HasOpenModel()) {
		return nil, keyErr
	}
	if keyErr != nil && e.bodies.Scarce() {
		return nil, refuseForMemory("the memory for the bodies of callers without a key is in use")
	}
	body, err := req.readBody(w, r)
	if err != nil {
		return nil, err
	}
	params, err := openai.ParseRequest(kind, body)
	if err != nil {
		return nil, verdict.Refuse(wirev1.Reason_REASON_MALFORMED, "%v", err)
	}
	model, err := findModel(snapshot, params.Model)
	if err != nil {
		return nil, err
	}
	if keyErr != nil && !model.GetOpen() {
		return nil, keyErr
	}
	req.caller = identified
	req.identity = requestIdentity{service: model.GetName(), method: r.Method, target: r.URL.RequestURI(), body: body}
	req.identityParts() // computed now, so that the body need not be kept
	c := &completion{request: req, model: model, params: params, w: w, writer: openai.NewWriter(w, params, "cmpl-"+req.name)}
	c.promptTokens = prefix.TokenCount(params.Prompt)
	c.maxTokens = params.MaxTokens
	if c.maxTokens == 0 {
		c.maxTokens = int(model.GetDefaultMaxTokens())
	}
	return c, nil
}

func findModel(snapshot *confsync.Snapshot, name string) (*configv1.Document_Model, error) {
	model, ok := snapshot.Model(name)
	if !ok {
		return nil, verdict.Refuse(wirev1.Reason_REASON_UNKNOWN_MODEL, "the model %q is not served here", name)
	}
	return model, nil
}

func (c *completion) serve() {
	c.entry.budget.Request()
	for {
		outcome, err := c.attempt()
		if err == nil {
			c.complete(outcome)
			return
		}
		if len(c.delivered) >= c.maxTokens {
			// All tokens were delivered; only the outcome was lost.
			c.takeReplacement().close()
			c.complete(&wirev1.Outcome{FinishReason: finishLength})
			return
		}
		if c.ctx.Err() != nil {
			c.takeReplacement().close()
			c.fail(c.cancelCause(err))
			return
		}
		refusal := verdict.As(err)
		if c.replacement != nil {
			// The retry budget has permitted the move.
			c.recordRetry("model", refusal, events.Field("delivered", len(c.delivered)))
			continue
		}
		if c.mayWait(refusal) {
			c.recordWaiting(refusal)
			if wait.For(c.ctx, replanInterval) {
				continue
			}
			c.fail(c.cancelCause(refusal))
			return
		}
		if !c.mayRetry(refusal) {
			c.fail(refusal)
			return
		}
		c.recordRetry("model", refusal, events.Field("delivered", len(c.delivered)))
	}
}

// mayWait reports whether to plan again later because no upstream accepts work now. That puts no load on the upstreams, so it
// does not draw from the retry budget.
func (c *completion) mayWait(refusal *verdict.Refusal) bool {
	return isNoUpstream(refusal) && c.worthWaiting()
}

// worthWaiting reports whether the first token can still meet its limit or, after it, whether the gap in the stream is still
// below maxStreamGap.
func (c *completion) worthWaiting() bool {
	if len(c.delivered) > 0 {
		return time.Since(c.lastToken) < maxStreamGap
	}
	return time.Since(c.startTime) < c.firstTokenLimit()
}

func (c *completion) mayRetry(refusal *verdict.Refusal) bool {
	// An attempt without an upstream would fail again at once; mayWait handles that case.
	if !isRetryable(refusal) || isNoUpstream(refusal) {
		return false
	}
	// Running a prompt twice has no side effects, so model requests count as idempotent.
	if retry.Decide(refusal.Verdict, true, len(c.delivered) > 0, true) == retry.GiveUp {
		return false
	}
	return c.waitForRetryBudget(c.worthWaiting)
}

// attempt runs prefill and decode once. After an earlier attempt it continues after the tokens that were delivered.
func (c *completion) attempt() (*wirev1.Outcome, error) {
	// The account is charged before any place is requested, so that an account over its rate costs one ledger request only.
	moved := c.takeReplacement()
	if err := c.authorize(c.ctx, c.chargeTokens()); err != nil {
		moved.close()
		return nil, err
	}
	prompt := c.params.Prompt + strings.Join(c.delivered, "")
	plan, place, err := c.planAndReserve(prompt, moved)
	if err != nil {
		return nil, err
	}
	defer place.close()
	prefilled, err := c.prefill(plan, prompt, place)
	if err != nil {
		return nil, err
	}
	outcome, err := c.decodeWithFallback(plan, place, prefilled)
	prefilled.release(c.wasteCause(err))
	return outcome, err
}

// planAndReserve returns the plan and the decode place of an attempt: those of a moved request, or new ones.
func (c *completion) planAndReserve(prompt string, moved *replacement) (*plan, *reservation, error) {
	if moved != nil {
		return moved.plan, moved.place, nil
	}
	plan, err := c.plan(c.ctx, prompt)
	if err != nil {
		return nil, nil, err
	}
	reserveStart := time.Now()
	place, err := c.reserveDecode(plan)
	if err != nil {
		return nil, nil, err
	}
	if plan, err = c.replanIfStale(plan, prompt, reserveStart); err != nil {
		place.close()
		return nil, nil, err
	}
	return plan, place, nil
}

// wasteCause returns the metric label that says why the prefill of an attempt was not used.
func (c *completion) wasteCause(err error) string {
	if c.callerDisconnected() {
		return metrics.CauseCallerDisconnected
	}
	if err == nil {
		return "no_output"
	}
	return verdict.ReasonName(verdict.As(err).Reason)
}

// chargeTokens returns the tokens that the request is charged before it runs: its prompt and the longest output that it
// permits. settle refunds what was not used.
func (c *completion) chargeTokens() uint64 { return uint64(c.promptTokens + c.maxTokens) }

// complete ends the response and settles the charge.
func (c *completion) complete(outcome *wirev1.Outcome) {
	usage := openai.Usage{
		PromptTokens: c.promptTokens, CompletionTokens: len(c.delivered),
		TotalTokens: c.promptTokens + len(c.delivered),
	}
	c.settle(uint64(usage.TotalTokens), verdict.Ran)
	if err := c.writer.End(outcome.GetFinishReason(), usage); err != nil {
		c.entry.metrics.CallerDisconnected()
		return
	}
	c.entry.metrics.Served("model", c.model.GetName())
	c.entry.metrics.Latency(c.model.GetName(), c.targetsMet())
	c.recordAccountUsage(c.chargeTokens(), nil)
}

// targetsMet reports whether the targets for the first token and for the mean token gap were met.
func (c *completion) targetsMet() bool {
	if c.firstToken.IsZero() || c.firstToken.Sub(c.startTime) > c.model.GetFirstTokenTarget().AsDuration() {
		return false
	}
	gaps := len(c.delivered) - 1
	return gaps < 1 || c.tokenGapSum/time.Duration(gaps) <= c.model.GetTokenGapTarget().AsDuration()
}

func (c *completion) fail(err error) {
	refusal := c.finalRefusal(err)
	used := uint64(0)
	if len(c.delivered) > 0 {
		refusal.Verdict = verdict.Ran
		used = uint64(c.promptTokens + len(c.delivered))
	}
	c.settle(used, refusal.Verdict)
	c.recordFailure(c.chargeTokens(), refusal)
	if !c.writer.Started() {
		c.entry.sendRefusal(c.w, c.name, refusal)
		return
	}
	_ = c.writer.Fail(errorBody(refusal, c.name)) // the caller may have disconnected
}
