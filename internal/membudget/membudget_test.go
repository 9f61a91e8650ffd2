package membudget

import (
	"io"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/go-faster/errors"
)

// Guards against bodies that together take more than the budget, against a budget that shrinks or grows with use, and against ordinary bodies that
// are refused while it is used up.
func TestBuffersShareBudget(t *testing.T) {
	const size = 1 << 20
	random := rand.New(rand.NewPCG(1, 2))
	budget := New(size)
	var buffers []*Buffer
	exhausted := false
	for range 5000 {
		switch i := random.IntN(40); {
		case i >= len(buffers):
			buffers = append(buffers, budget.NewBuffer())
		case random.IntN(8) == 0:
			buffers[i].Release()
		default:
			before := buffers[i].Len()
			err := buffers[i].Append(make([]byte, random.IntN(64<<10)))
			exhausted = exhausted || err != nil
			if err != nil && (!errors.Is(err, ErrExhausted) || buffers[i].Len() != before) {
				t.Fatalf("%v, %d bytes before and %d after", err, before, buffers[i].Len())
			}
		}
		held := 0
		for _, buffer := range buffers {
			held += max(0, cap(buffer.data)-uncountedBytes)
		}
		if int64(held) > budget.Used() || budget.Used() > size {
			t.Fatalf("%d bytes held, %d counted, budget %d", held, budget.Used(), size)
		}
	}
	if !exhausted {
		t.Error("the budget was never used up")
	}
	rest := size - budget.Used()
	budget.Take(rest)
	if err := budget.NewBuffer().Append(make([]byte, uncountedBytes)); err != nil {
		t.Errorf("an ordinary body: %v", err)
	}
	budget.Return(rest)
	for _, buffer := range buffers {
		buffer.Release()
		buffer.Release()
	}
	if used := budget.Used(); used != 0 {
		t.Errorf("%d bytes are counted although no buffer is in use", used)
	}
}

// Guards against a body that is lost or changed where the budget or the limit ends.
func TestFill(t *testing.T) {
	text := strings.Repeat("0123456789", 10_000)
	failure := errors.New("broken")
	for _, c := range []struct {
		name    string
		budget  int64
		source  io.Reader
		limit   int
		want    string
		wantErr error
	}{
		{"whole", 1 << 20, strings.NewReader(text), 1 << 20, text, nil},
		{"byte by byte", 1 << 20, iotest.OneByteReader(strings.NewReader(text)), 1 << 20, text, nil},
		{"up to the limit", 1 << 20, strings.NewReader(text), 99_999, text[:99_999], nil},
		{"up to the budget", 10_000, strings.NewReader(text), 1 << 20, text[:uncountedBytes+10_000], ErrExhausted},
		{"failure", 1 << 20, io.MultiReader(strings.NewReader(text), iotest.ErrReader(failure)), 1 << 20, text, failure},
	} {
		buffer := New(c.budget).NewBuffer()
		err := buffer.Fill(c.source, c.limit)
		if !errors.Is(err, c.wantErr) || string(buffer.Bytes()) != c.want && c.wantErr != ErrExhausted {
			t.Errorf("%s: %v, %d bytes, want %d", c.name, err, buffer.Len(), len(c.want))
		}
		if rest, _ := io.ReadAll(c.source); c.wantErr == ErrExhausted && string(buffer.Bytes())+string(rest) != text {
			t.Errorf("%s: bytes are missing between the %d in the buffer and the %d after them", c.name, buffer.Len(), len(rest))
		}
	}
}
