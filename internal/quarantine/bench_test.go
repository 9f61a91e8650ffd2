package quarantine

import (
	"fmt"
	"testing"
)

// fullList returns a list whose memory for identities is full.
func fullList() *List {
	l := NewList()
	for i := range maxIdentities - 1 {
		l.RecordCrash(Crash{Upstream: fmt.Sprint(i / 64), Request: fmt.Sprint(i), Parts: []string{fmt.Sprint("request:", i)}, At: start})
	}
	crashes(l, start, 3, deadly)
	return l
}

func BenchmarkKnown(b *testing.B) {
	l := fullList()
	for b.Loop() {
		l.Known()
	}
}

func BenchmarkRecordCrashInFullList(b *testing.B) {
	l := fullList()
	i := 0
	for b.Loop() {
		i++
		l.RecordCrash(Crash{Upstream: "v", Request: fmt.Sprint(i), Parts: []string{fmt.Sprint("request:x", i)}, At: start})
	}
}

func BenchmarkRefusal(b *testing.B) {
	l := fullList()
	for b.Loop() {
		l.Check([]string{deadly}, start)
	}
}

// BenchmarkSoundRequest measures what a request costs while identities are suspected, at three sizes of its body.
func BenchmarkSoundRequest(b *testing.B) {
	for _, size := range []int{0, 4 << 10, 100 << 10} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			l, body := fullList(), make([]byte, size)
			for b.Loop() {
				parts := []string{Identity("service", "account", "POST", "/path/of/a/request?page=1", body)}
				l.Check(parts, start)
				l.Enter(parts, start)
				l.RecordFirstEvent(parts, start)
			}
		})
	}
}

// BenchmarkRequestWithoutSuspects measures the same while none is suspected.
func BenchmarkRequestWithoutSuspects(b *testing.B) {
	l := NewList()
	for b.Loop() {
		if l.SuspectsRequests() {
			b.Fatal("an identity is suspected")
		}
		l.Check(nil, start)
		l.Enter(nil, start)
		l.RecordFirstEvent(nil, start)
	}
}
