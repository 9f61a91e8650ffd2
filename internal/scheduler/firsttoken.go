package scheduler

import (
	"time"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/verdict"
)

const (
	// minFactor and maxFactor bound the learnt correction of first-token estimates, so that a few extreme requests can
	// neither admit nor refuse everything.
	minFactor = 0.5
	maxFactor = 3.0
)

// Quote is the answer of a prefill sidecar.
type Quote struct {
	Candidate Candidate
	Reply     *wirev1.QuoteReply
}

// ChooseQuote returns the quote with the least estimated ready time; ok is false if no upstream accepts.
func (s *Scheduler) ChooseQuote(req *Request, quotes []Quote) (best Quote, ok bool) {
	for _, q := range quotes {
		if !q.Reply.GetAccepting() {
			continue
		}
		if !ok || s.quoteSeconds(req, q) < s.quoteSeconds(req, best) {
			best, ok = q, true
		}
	}
	return best, ok
}

// quoteSeconds is the estimated ready time with the transfer to a decode engine of this data centre.
func (s *Scheduler) quoteSeconds(req *Request, q Quote) float64 {
	ready := float64(q.Reply.GetReadyInMs()) / 1000
	return ready + s.learnt.transferSeconds(q.Candidate.DataCentre, s.config.DataCentre, req.PromptTokens)
}

// EstimateFirstToken returns the expected time to the first token: the longer of prefill and wait for a decode place,
// then the transfer, corrected by the learnt error.
func (s *Scheduler) EstimateFirstToken(req *Request, quote Quote, decode Candidate) time.Duration {
	ready := float64(quote.Reply.GetReadyInMs()) / 1000
	from := quote.Candidate.DataCentre
	transfer := s.learnt.transferSeconds(from, decode.DataCentre, req.PromptTokens)
	queue := queueSeconds(s.learnt, &decode, float64(req.MaxTokens)*defaultGapSeconds)
	s.learnt.mu.RLock()
	defer s.learnt.mu.RUnlock()
	seconds := (max(ready, queue) + transfer) * s.learnt.firstTokenFactor
	return time.Duration(seconds * float64(time.Second))
}

// ObserveFirstToken learns the error of the estimate from the time the first token really took.
func (s *Scheduler) ObserveFirstToken(estimate, actual time.Duration) {
	if estimate <= 0 {
		return
	}
	s.learnt.mu.Lock()
	defer s.learnt.mu.Unlock()
	// The estimate contains the present factor already.
	sample := s.learnt.firstTokenFactor * actual.Seconds() / estimate.Seconds()
	factor := blend(s.learnt.firstTokenFactor, sample)
	s.learnt.firstTokenFactor = min(maxFactor, max(minFactor, factor))
}

// FirstTokenLimit returns the longest acceptable time to the first token; zero means no limit.
func (r *Request) FirstTokenLimit() time.Duration {
	patience := r.Patience
	if patience <= 0 {
		patience = 1
	}
	return time.Duration(patience * float64(r.FirstTokenTarget))
}

// RefuseEarly returns a refusal if the estimated first token is later than the request's limit, and nil otherwise.
func (s *Scheduler) RefuseEarly(req *Request, estimate time.Duration) *verdict.Refusal {
	limit := req.FirstTokenLimit()
	if limit == 0 || estimate <= limit {
		return nil
	}
	refusal := verdict.Refuse(wirev1.Reason_REASON_TARGET_MISSED,
		"first token expected after %v, limit is %v", estimate.Round(time.Millisecond), limit)
	refusal.RetryAfter = estimate - limit
	return refusal
}
