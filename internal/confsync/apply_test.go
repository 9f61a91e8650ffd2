package confsync

import (
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fulmardoor/fulmardoor/internal/kv/memory"
)

// Guards against outcomes that an operator must not be told: a change that is lost without notice, one that is said to
// have failed and is in force, or one that replaces another operator's.
func TestApplyOutcomes(t *testing.T) {
	good := []byte(teamText("kilimo", 5))
	cases := []struct {
		name     string
		prepare  func(s *teamStore)
		text     string
		expected uint64
		want     OutcomeKind
		revision uint64
		written  bool
		failed   bool
	}{
		{name: "first version", want: Accepted, revision: 2, written: true},
		{name: "two operators race", want: LostRace, revision: 2,
			prepare: func(s *teamStore) { s.write("kilimo", teamText("kilimo", 6)) }},
		{name: "document is gone", want: LostRace, expected: 3},
		{name: "answer lost after the write", want: Accepted, revision: 2, written: true,
			prepare: func(s *teamStore) { s.SetFaults(memory.Faults{LoseAnswers: 1}) }},
		{name: "store down", want: NotWritten, failed: true, prepare: func(s *teamStore) { s.setDown(true) }},
		{name: "mistaken document", want: Rejected, text: "[document]\nteam = kilimo\n[acount \"a\"]\n"},
		{name: "document of another team", want: Rejected, text: teamText("hakata", 5)},
		{name: "account of another team", want: Rejected,
			text:    "[document]\nteam = kilimo\n[account \"hakata-app\"]\nrate = 1\nburst = 4\n",
			prepare: func(s *teamStore) { s.write("hakata", teamText("hakata", 6)) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newStore()
				if c.prepare != nil {
					c.prepare(store)
				}
				text := good
				if c.text != "" {
					text = []byte(c.text)
				}
				outcome, err := Apply(context.Background(), store, "kilimo", text, c.expected)
				if outcome.Kind != c.want || outcome.Revision != c.revision || (err != nil) != c.failed {
					t.Errorf("%v at %d, error %v", outcome.Kind, outcome.Revision, err)
				}
				if c.want == LostRace && c.revision > 0 && string(outcome.Text) != teamText("kilimo", 6) {
					t.Errorf("text of the other version: %q", outcome.Text)
				}
				if (outcome.Kind == Rejected) != (outcome.Faults != nil) {
					t.Errorf("faults %v", outcome.Faults)
				}
				if written := strings.Contains(string(store.document("kilimo").Value), "rate = 5"); written != c.written {
					t.Errorf("written: %v", written)
				}
			})
		})
	}
}

// Guards against a guess where the outcome cannot be known: the store stays down after the answer was lost, or another
// operator's version stands where this one may have been.
func TestApplyUnknown(t *testing.T) {
	cases := map[string]func(s *teamStore){
		"down":     func(s *teamStore) { s.setDown(true) },
		"replaced": func(s *teamStore) { s.write("kilimo", teamText("kilimo", 6)) },
	}
	for name, afterSwap := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newStore()
				store.SetFaults(memory.Faults{LoseAnswers: 1})
				time.AfterFunc(resolveDelay/2, func() { afterSwap(store) })
				outcome, err := Apply(context.Background(), store, "kilimo", []byte(teamText("kilimo", 5)), 0)
				if outcome.Kind != Unknown || err != nil {
					t.Errorf("%v, error %v", outcome.Kind, err)
				}
			})
		})
	}
}

// Guards against operators who have to try again for each fault of a document.
func TestApplyNamesEveryFault(t *testing.T) {
	text := "[document]\nteam = kilimo\n[account \"a\"]\nrate = 10\nburst = 39\n[key \"k\"]\naccount = b\nsha256 = 0\n"
	outcome, err := Apply(context.Background(), newStore(), "kilimo", []byte(text), 0)
	if err != nil || outcome.Kind != Rejected {
		t.Fatalf("%v, error %v", outcome.Kind, err)
	}
	for _, line := range []string{"kilimo:5:", "kilimo:7:", "kilimo:8:"} {
		if !strings.Contains(outcome.Faults.Error(), line) {
			t.Errorf("no fault at %s in\n%v", line, outcome.Faults)
		}
	}
}

// Guards against two operators who are both told that their version is in force, or both that it is not.
func TestTwoOperatorsRace(t *testing.T) {
	for lost := range 3 {
		synctest.Test(t, func(t *testing.T) {
			store := newStore()
			store.SetFaults(memory.Faults{LoseAnswers: lost})
			first := store.write("kilimo", teamText("kilimo", 1))
			var outcomes [2]Outcome
			var work sync.WaitGroup
			for i := range outcomes {
				work.Go(func() {
					text := []byte(teamText("kilimo", 10+i))
					outcomes[i], _ = Apply(context.Background(), store, "kilimo", text, first)
				})
			}
			work.Wait()
			accepted, other := outcomes[0], outcomes[1]
			if accepted.Kind != Accepted {
				accepted, other = other, accepted
			}
			stored := store.document("kilimo")
			if accepted.Kind != Accepted || other.Kind != LostRace || applyID(stored.Value) != accepted.ApplyID {
				t.Errorf("%d answers lost: %v and %v", lost, accepted.Kind, other.Kind)
			}
			if other.Revision != accepted.Revision || string(other.Text) != string(stored.Value) {
				t.Errorf("the loser is shown revision %d", other.Revision)
			}
		})
	}
}
