package ingress

import (
	"testing"

	"github.com/fulmardoor/fulmardoor/internal/membudget"
)

// Guards against a charge for ordinary heads, and against heads that are counted as less than they take.
func TestHeadCost(t *testing.T) {
	for _, test := range []struct {
		bytes, lines int
		cost         int64
	}{{0, 0, 0}, {freeHeadBytes, freeHeadLines, 0}, {freeHeadBytes + 10, 1, 20}, {10, freeHeadLines + 3, 600}, {64 << 10, 16384, 2*63<<10 + 200*16360}} {
		if cost := (&headAccount{bytes: test.bytes, lines: test.lines}).cost(); cost != test.cost {
			t.Errorf("%d bytes in %d lines cost %d, want %d", test.bytes, test.lines, cost, test.cost)
		}
	}
}

// Guards against limits that refuse a head of exactly the permitted size.
func TestHeadLimits(t *testing.T) {
	limits := &Limits{MaxHeadBytes: 100, MaxHeadLines: 10}
	var a headAccount
	if cause := a.add(100, 10, limits); cause != "" {
		t.Errorf("refused at the limit: %s", cause)
	}
	if cause := a.add(1, 0, limits); cause != CauseHeadSize {
		t.Errorf("cause %q of one byte more", cause)
	}
	if cause := (&headAccount{}).add(11, 11, limits); cause != CauseHeadLines {
		t.Errorf("cause %q of one line more", cause)
	}
}

// Guards against memory that is not returned, or that a closed connection still takes.
func TestChargeIsReturned(t *testing.T) {
	budget := membudget.New(100)
	c := charge{budget: budget}
	if !c.raise(60) || !c.raise(90) || c.raise(101) || budget.Used() != 90 {
		t.Errorf("%d bytes are taken, want 90", budget.Used())
	}
	c.release()
	if !c.raise(50) || budget.Used() != 50 {
		t.Errorf("%d bytes are taken, want 50", budget.Used())
	}
	c.close()
	c.close()
	if c.raise(1) || budget.Used() != 0 {
		t.Errorf("%d bytes are taken after the close", budget.Used())
	}
}
