package load

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"
)

// Summary counts results of one kind.
type Summary struct {
	Kind     string
	Sent     int
	Complete int
	// Refused counts refused requests that did not run.
	Refused int
	// MayHaveRun counts refused requests that the upstream may have run.
	MayHaveRun int
	// Failed counts all other requests without a complete response.
	Failed      int
	Tokens      int
	firstTokens []time.Duration
	totals      []time.Duration
}

// Summarize returns one summary for each kind of request that was sent.
func Summarize(results []Result) []*Summary {
	var list []*Summary
	for _, kind := range []string{"model", "booking"} {
		s := &Summary{Kind: kind}
		for _, r := range results {
			if r.Kind == kind {
				s.add(r)
			}
		}
		if s.Sent > 0 {
			list = append(list, s)
		}
	}
	return list
}

func (s *Summary) add(r Result) {
	s.Sent++
	s.Tokens += r.Tokens
	s.totals = append(s.totals, r.Total)
	if r.FirstToken > 0 {
		s.firstTokens = append(s.firstTokens, r.FirstToken)
	}
	switch {
	case r.Complete:
		s.Complete++
	case r.Verdict == "not run":
		s.Refused++
	case r.Verdict == "may have run":
		s.MayHaveRun++
	default:
		s.Failed++
	}
}

// percentile returns the p-th percentile of values, or 0 if there are none.
func percentile(values []time.Duration, p int) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return sorted[min(len(sorted)-1, len(sorted)*p/100)]
}

// WriteTable prints the summaries as a table.
func WriteTable(w io.Writer, summaries []*Summary) error {
	table := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "kind\tsent\twhole\tnot run\tmay have run\tfailed\ttokens\tfirst token p50\tp95\ttotal p50\tp95")
	for _, s := range summaries {
		_, _ = fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%v\t%v\t%v\t%v\n",
			s.Kind, s.Sent, s.Complete, s.Refused, s.MayHaveRun, s.Failed, s.Tokens,
			percentile(s.firstTokens, 50).Round(time.Millisecond), percentile(s.firstTokens, 95).Round(time.Millisecond),
			percentile(s.totals, 50).Round(time.Millisecond), percentile(s.totals, 95).Round(time.Millisecond))
	}
	return table.Flush()
}
