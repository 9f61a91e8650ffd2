package scheduler

import (
	"time"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/verdict"
)

// maxCorrection bounds the learnt correction of first-token estimates, so that a few extreme requests can neither admit
// nor refuse everything.
const maxCorrection = 500 * time.Millisecond

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

// EstimateFirstToken returns the expected time from the grant of a decode place to the first token: prefill and
// transfer, corrected by the learnt error. The wait for the decode place is not part of it: the decode sidecars order
// their lists by account, which a reported queue cannot show, and refuse by themselves what would wait too long.
func (s *Scheduler) EstimateFirstToken(req *Request, quote Quote, decode Candidate) time.Duration {
	ready := time.Duration(quote.Reply.GetReadyInMs()) * time.Millisecond
	transfer := s.learnt.transferSeconds(quote.Candidate.DataCentre, decode.DataCentre, req.PromptTokens)
	s.learnt.mu.RLock()
	defer s.learnt.mu.RUnlock()
	return max(0, ready+time.Duration(transfer*float64(time.Second))+s.learnt.firstTokenError)
}

// ObserveFirstToken learns the error of an estimate from the time that the first token took after the grant.
func (s *Scheduler) ObserveFirstToken(estimate, actual time.Duration) {
	s.learnt.mu.Lock()
	defer s.learnt.mu.Unlock()
	// The estimate contains the present correction already.
	step := time.Duration((1 - learnKeep) * float64(actual-estimate))
	s.learnt.firstTokenError = min(maxCorrection, max(-maxCorrection, s.learnt.firstTokenError+step))
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
