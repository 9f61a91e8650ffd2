package scheduler

import (
	"time"
)

// speedWeight is the weight of the decode time against the time to the first token. Only the first token and the gap
// have targets, so a faster engine is worth no more than a short wait for it.
const speedWeight = 0.02

// interCentrePenalty is the cost of leaving the own data centre, a round trip or two with margin.
const interCentrePenalty = 0.005

// queueSeconds returns the reported queue, aged, plus the work that this process sent since the report.
func queueSeconds(l *learnt, c *Candidate, workSeconds float64) float64 {
	load := c.Load
	queue := max(0, float64(load.GetQueueMs())/1000-c.LoadAge.Seconds())
	unseen := l.chosenSince(c.Upstream, c.LoadAge, time.Now())
	over := float64(unseen) - float64(load.GetPlacesFree())
	if over > 0 {
		queue += over * workSeconds / float64(max(1, load.GetPlaces()))
	}
	return queue
}

// occupancy returns the used share of the places, with the work that this process sent since the report.
func occupancy(l *learnt, c *Candidate) float64 {
	places := float64(max(1, c.Load.GetPlaces()))
	unseen := l.chosenSince(c.Upstream, c.LoadAge, time.Now())
	return min(1.5, (places-float64(c.Load.GetPlacesFree())+float64(unseen))/places)
}

// prefillScorer estimates the time to a finished prefill without knowledge of the cache.
type prefillScorer struct {
	learnt *learnt
}

func (s *prefillScorer) Score(req *Request, c *Candidate) float64 {
	work := float64(req.PromptTokens) * s.learnt.tokenSeconds(c)
	return queueSeconds(s.learnt, c, work) + work
}

// decodeScorer estimates wait, transfer and decode time.
type decodeScorer struct {
	learnt     *learnt
	dataCentre string
}

func (s *decodeScorer) Score(req *Request, c *Candidate) float64 {
	gap := c.Load.GetTokenGapMs() / 1000
	if gap == 0 {
		gap = defaultGapSeconds
	}
	work := float64(req.MaxTokens) * gap
	from := req.PrefillDataCentre
	if from == "" {
		from = s.dataCentre
	}
	cost := queueSeconds(s.learnt, c, work) + s.learnt.transferSeconds(from, c.DataCentre, req.PromptTokens)
	if c.DataCentre != s.dataCentre {
		cost += interCentrePenalty
	}
	// An engine slows down as its places fill up, so a full engine is worth less than its learnt gap says.
	return cost + speedWeight*work*(0.5+0.5*occupancy(s.learnt, c))
}

// serviceScorer estimates the wait at a plain service.
type serviceScorer struct {
	learnt     *learnt
	dataCentre string
}

func (s *serviceScorer) Score(_ *Request, c *Candidate) float64 {
	cost := queueSeconds(s.learnt, c, 0.01) + 0.05*occupancy(s.learnt, c)
	if c.DataCentre != s.dataCentre {
		cost += interCentrePenalty
	}
	return cost
}
