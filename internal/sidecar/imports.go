package sidecar

import (
	"sync"
	"time"
)

const (
	// minImportLimit is well below the eviction time of an export, so that another engine can still import it.
	minImportLimit = 300 * time.Millisecond
	// maxImportLimit is used until the link's rate is learnt.
	maxImportLimit = 2 * time.Second
	// importSlack is how much longer than learnt an import may take, because transfers share the link.
	importSlack = 4
	// importWeight is the weight of a new sample in the learnt time.
	importWeight = 0.2
)

// importTimes learns how long the first token of an imported KV cache takes, to find a transfer that stalls.
type importTimes struct {
	mu             sync.Mutex // guards secondsPerByte
	secondsPerByte float64    // 0 while unknown
}

// limit returns the longest wait for the first token after an import of a number of bytes.
func (t *importTimes) limit(bytes uint64) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.secondsPerByte == 0 {
		return maxImportLimit
	}
	expected := time.Duration(t.secondsPerByte * float64(bytes) * float64(time.Second))
	return min(max(importSlack*expected, minImportLimit), maxImportLimit)
}

// observe learns from a finished import.
func (t *importTimes) observe(bytes uint64, elapsed time.Duration) {
	if bytes == 0 {
		return
	}
	sample := elapsed.Seconds() / float64(bytes)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.secondsPerByte == 0 {
		t.secondsPerByte = sample
		return
	}
	t.secondsPerByte += importWeight * (sample - t.secondsPerByte)
}
