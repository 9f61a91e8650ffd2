package scheduler

import (
	"time"
)

// decodeTimeWeight is the weight of the decode time relative to the time to the first token. It is low because only the
// first token and the token gap have targets, so a faster engine justifies only a short additional wait.
const decodeTimeWeight = 0.02

// crossDataCentrePenalty is the cost in seconds of an upstream in another data centre: one or two round trips with
// margin.
const crossDataCentrePenalty = 0.005

// queueSeconds returns the expected wait: the reported one less the age of the report, plus that for the requests that
// this process has sent since the report and that exceed the free places. workSeconds is the time of one request.
func queueSeconds(l *estimates, c *Candidate, workSeconds float64) float64 {
	load := c.Load
	queue := max(0, float64(load.GetQueueMs())/1000-c.LoadAge.Seconds())
	unreported := l.choicesAfterReport(c.Upstream, c.LoadAge, time.Now())
	excess := float64(unreported) - float64(load.GetPlacesFree())
	if excess > 0 {
		queue += excess * workSeconds / float64(max(1, load.GetPlaces()))
	}
	return queue
}

// occupancy returns the used share of the places, including the requests that this process has sent since the report.
func occupancy(l *estimates, c *Candidate) float64 {
	places := float64(max(1, c.Load.GetPlaces()))
	unreported := l.choicesAfterReport(c.Upstream, c.LoadAge, time.Now())
	return min(1.5, (places-float64(c.Load.GetPlacesFree())+float64(unreported))/places)
}

// prefillScorer estimates the time to the end of the prefill as if no part of the prompt were cached.
type prefillScorer struct {
	estimates *estimates
}

func (s *prefillScorer) Score(req *Request, c *Candidate) float64 {
	work := float64(req.PromptTokens) * s.estimates.prefillTokenSeconds(c)
	return queueSeconds(s.estimates, c, work) + work
}

// decodeScorer estimates the sum of the wait, the transfer time and the weighted decode time.
type decodeScorer struct {
	estimates  *estimates
	dataCentre string
}

func (s *decodeScorer) Score(req *Request, c *Candidate) float64 {
	gap := c.Load.GetTokenGapMs() / 1000
	if gap == 0 {
		gap = defaultTokenGapSeconds
	}
	work := float64(req.MaxTokens) * gap
	from := req.PrefillDataCentre
	if from == "" {
		from = s.dataCentre
	}
	cost := queueSeconds(s.estimates, c, work) + s.estimates.transferSeconds(from, c.DataCentre, req.PromptTokens)
	if c.DataCentre != s.dataCentre {
		cost += crossDataCentrePenalty
	}
	// An engine slows down as its places fill up, so the decode time increases with the occupancy.
	return cost + decodeTimeWeight*work*(0.5+0.5*occupancy(s.estimates, c))
}

// serviceScorer estimates the wait at a plain service, for which a request is assumed to take 10 ms. Occupancy counts
// too, with 50 ms for a full service, so that load spreads when nothing waits.
type serviceScorer struct {
	estimates  *estimates
	dataCentre string
}

func (s *serviceScorer) Score(_ *Request, c *Candidate) float64 {
	cost := queueSeconds(s.estimates, c, 0.01) + 0.05*occupancy(s.estimates, c)
	if c.DataCentre != s.dataCentre {
		cost += crossDataCentrePenalty
	}
	return cost
}
