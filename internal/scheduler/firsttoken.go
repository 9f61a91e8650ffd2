package scheduler

import (
	"time"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/verdict"
)

// maxFirstTokenCorrection bounds the correction of first-token estimates, so that a few extreme requests cannot cause
// all later ones to be admitted or refused.
const maxFirstTokenCorrection = 500 * time.Millisecond

// Quote is the answer of a prefill sidecar to a request for its estimated ready time.
type Quote struct {
	Candidate Candidate
	Reply     *wirev1.QuoteReply
}

// ChooseQuote returns the quote with the least sum of estimated ready time and transfer time; ok is false if no
// upstream accepts.
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

// quoteSeconds returns the estimated ready time plus the transfer to a decode engine in the data centre of this
// process.
func (s *Scheduler) quoteSeconds(req *Request, q Quote) float64 {
	ready := float64(q.Reply.GetReadyInMs()) / 1000
	return ready + s.estimates.transferSeconds(q.Candidate.DataCentre, s.config.DataCentre, req.PromptTokens)
}

// EstimateFirstToken returns the expected time from the grant of a decode place to the first token: prefill plus
// transfer, corrected by the mean error of earlier estimates. The wait for the decode place is not included. It depends
// on the account, which the queue length in a load report cannot show, and decode sidecars themselves refuse requests
// that would wait too long.
func (s *Scheduler) EstimateFirstToken(req *Request, quote Quote, decode Candidate) time.Duration {
	ready := time.Duration(quote.Reply.GetReadyInMs()) * time.Millisecond
	transfer := s.estimates.transferSeconds(quote.Candidate.DataCentre, decode.DataCentre, req.PromptTokens)
	s.estimates.mu.RLock()
	defer s.estimates.mu.RUnlock()
	return max(0, ready+time.Duration(transfer*float64(time.Second))+s.estimates.firstTokenError)
}

// ObserveFirstToken updates the mean error of estimates. actual is the time from the grant to the first token.
func (s *Scheduler) ObserveFirstToken(estimate, actual time.Duration) {
	s.estimates.mu.Lock()
	defer s.estimates.mu.Unlock()
	// The estimate already includes the present correction.
	step := time.Duration((1 - estimateDecay) * float64(actual-estimate))
	s.estimates.firstTokenError = min(maxFirstTokenCorrection, max(-maxFirstTokenCorrection, s.estimates.firstTokenError+step))
}

// FirstTokenLimit returns the longest acceptable time to the first token, the target times Patience; zero means no
// limit.
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
