// Package bench compares routing policies in virtual time. It runs the decision code of the product (places, scheduler,
// retry) against small fakes of engines, links, the ledger and callers.
package bench

import (
	"time"
)

const (
	// evictionTime is how long an exported KV cache is kept.
	evictionTime = 800 * time.Millisecond
	// blockTokens is the size of a KV block.
	blockTokens = 2048
	// bytesPerToken of KV cache; 8,400 GB/s of KV cache at 68,000 requests/s make 123 MB a request.
	bytesPerToken = 16 << 10
	// decodePlaces is the number of requests that a decode engine holds.
	decodePlaces = 20
	// cacheBlocks is the size of the prefix cache of a prefill engine.
	cacheBlocks = 1000
	// heartbeatInterval is the time between load reports.
	heartbeatInterval = 500 * time.Millisecond
	// firstTokenTarget and gapTarget are the latency targets of design section 1.8.
	firstTokenTarget = 1800 * time.Millisecond
	gapTarget        = 35 * time.Millisecond
	// meanOutput is the mean number of output tokens of the workload, maxOutput what callers ask for.
	meanOutput = 110
	maxOutput  = 256
)

// Deployment is a user's fleet.
type Deployment struct {
	Name        string
	DataCentres []string
	// Hop is the one-way latency between data centres, Local within one, ClientHop to the callers.
	Hop, Local, ClientHop time.Duration
	// PrefillSpeeds are relative, one an engine; Prefill gives tokens per second.
	PrefillSpeeds []float64
	// DecodeGaps are the times between tokens of full engines, one an engine.
	DecodeGaps []time.Duration
	Entries    int
	// Patience is the factor on the first-token target above which a request is refused early.
	Patience float64
	// LinkRate is the rate of the link into a data centre in bytes per second; within a data centre it is three times
	// as high.
	LinkRate float64
}

// Kilimo has 9 runners of the model drafter.
func Kilimo() Deployment {
	return Deployment{
		Name:          "Kilimo",
		DataCentres:   []string{"Kariakoo", "Msasani", "Ubungo", "Temeke"},
		Hop:           500 * time.Microsecond,
		Local:         100 * time.Microsecond,
		ClientHop:     3 * time.Millisecond,
		PrefillSpeeds: []float64{1, 2, 2.5},
		DecodeGaps:    gaps(28, 24, 20, 16, 28, 12),
		Entries:       3,
		Patience:      10,
		LinkRate:      4e9,
	}
}

// Hakata has 18 runners of the model scribe.
func Hakata() Deployment {
	return Deployment{
		Name:          "Hakata",
		DataCentres:   []string{"Fukuoka", "Kumamoto", "Nagasaki"},
		Hop:           1400 * time.Microsecond,
		Local:         100 * time.Microsecond,
		ClientHop:     3 * time.Millisecond,
		PrefillSpeeds: []float64{1, 2, 2.5, 2.5, 1.2, 1.8},
		DecodeGaps:    gaps(28, 24, 20, 16, 28, 12, 14, 28, 22, 26, 18, 20),
		Entries:       3,
		Patience:      3,
		LinkRate:      7.5e9,
	}
}

func gaps(ms ...int) []time.Duration {
	var out []time.Duration
	for _, m := range ms {
		out = append(out, time.Duration(m)*time.Millisecond)
	}
	return out
}

// Capacity returns the requests per second that the decode places can hold.
func (d Deployment) Capacity() float64 {
	transfer := meanPrompt * bytesPerToken / d.LinkRate
	rate := 0.0
	for _, gap := range d.DecodeGaps {
		rate += decodePlaces / (meanOutput*gap.Seconds() + transfer)
	}
	return rate
}

// prefillMargin is the prefill speed of a deployment as a multiple of what its capacity needs when every shared prompt
// beginning is cached. The decode engines are what is full at peak.
const prefillMargin = 1.3

// Prefill returns the speed of prefill engine i in prompt tokens per second.
func (d Deployment) Prefill(i int) float64 {
	total := 0.0
	for _, speed := range d.PrefillSpeeds {
		total += speed
	}
	return prefillMargin * d.Capacity() * meanUncached() * d.PrefillSpeeds[i] / total
}

// latency returns the one-way latency between two data centres.
func (d Deployment) latency(from, to string) time.Duration {
	if from == to {
		return d.Local
	}
	return d.Hop
}
