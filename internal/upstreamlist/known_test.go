package upstreamlist

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/fulmardoor/fulmardoor/internal/fleet"
)

const historyBits = 40

// options are those of a store whose upstreams write their entries every 1.2 s.
var options = Options{
	LapseTime: 2400 * time.Millisecond, ReturnTime: 2 * time.Second, LeaseTime: 4800 * time.Millisecond,
	SameHistory: func(a, b int64) bool { return a>>historyBits == b>>historyBits },
}

// replay plays what processes read from a store and tell each other, without a network. Each statement of a script has the second at which it takes place and:
//
//	store x y           what the store lists from now on
//	restored x y        the same, after the store went back to a copy
//	replaced x y        the same, without saying so
//	A reads             a process reads the list
//	A reads slowly      its list is delivered at its next statement "A gets"
//	A loses             a call of a process to the store fails
//	A tells B C         a process passes its list on
//	A starts            a process starts anew
//	A has x y?          which upstreams a process uses; those with ? are unconfirmed
//
// An upstream may be written id@incarnation, and !id is an entry that names no upstream.
type replay struct {
	start     time.Time
	now       time.Time
	history   int64
	changes   int64
	entries   []string
	processes map[string]*replayed
}

// replayed is a process of a replay.
type replayed struct {
	known   *Known
	lostAt  time.Time
	pending *List
}

func (r *replay) process(name string) *replayed {
	p := r.processes[name]
	if p == nil {
		p = &replayed{known: New(options)}
		r.processes[name] = p
	}
	return p
}

func (r *replay) read(p *replayed) *List {
	r.changes++ // an upstream wrote its entry again
	var present []*fleet.Upstream
	var odd []string
	for _, text := range r.entries {
		if id, ok := strings.CutPrefix(text, "!"); ok {
			odd = append(odd, id)
			continue
		}
		id, incarnation, _ := strings.Cut(text, "@")
		number, _ := strconv.Atoi(incarnation)
		present = append(present, &fleet.Upstream{ID: id, Incarnation: int64(1 + number), Service: "s", Address: "10.0.0.1:80"})
	}
	return p.known.Read(&Reading{Upstreams: present, Odd: odd, Revision: r.history<<historyBits | r.changes, At: r.now})
}

func (p *replayed) apply(list *List, now time.Time) { p.known.Apply(list, p.lostAt, now) }

func (p *replayed) uses() string {
	var ids []string
	for _, upstream := range p.known.Upstreams() {
		id := upstream.ID
		if upstream.Unconfirmed {
			id += "?"
		}
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return strings.Join(ids, " ")
}

// play plays a script and returns its first statement that does not hold, with what is the case instead; empty if all hold.
func (r *replay) play(script string) string {
	for statement := range strings.SplitSeq(script, ";") {
		words := strings.Fields(statement)
		seconds, err := strconv.ParseFloat(words[0], 64)
		if err != nil {
			return err.Error()
		}
		r.now = r.start.Add(time.Duration(seconds * float64(time.Second)))
		switch words[1] {
		case "restored":
			r.history, r.changes = r.history+1, 0
			fallthrough
		case "replaced":
			r.changes = 0
			fallthrough
		case "store":
			r.entries, r.changes = words[2:], r.changes+1
			continue
		}
		p := r.process(words[1])
		switch strings.Join(words[2:], " ") {
		case "reads":
			p.apply(r.read(p), r.now)
		case "reads slowly":
			p.pending = r.read(p)
		case "gets":
			p.apply(p.pending, r.now)
		case "loses":
			p.lostAt = r.now
		case "starts":
			delete(r.processes, words[1])
		default:
			switch words[2] {
			case "tells":
				for _, to := range words[3:] {
					r.process(to).apply(p.known.Listed(), r.now)
				}
			case "has":
				if got := p.uses(); got != strings.Join(words[3:], " ") {
					return fmt.Sprintf("%s: has %q", strings.TrimSpace(statement), got)
				}
			default:
				return "unknown statement: " + statement
			}
		}
	}
	return ""
}

// Guards against requests for an upstream that has left, because a process that missed its departure says that it may come back, and against upstreams
// that nobody uses although only the store was away.
func TestMissingUpstreams(t *testing.T) {
	const steady = `
			-3 store x y; -3 A reads; -3 A tells B C; -2 A reads; -2 A tells B C; -1 A reads; -1 A tells B C; 0 A reads; 0 A tells B C`
	for _, c := range []struct{ name, script string }{
		{"an upstream leaves in calm", `
			0.5 store x; 1 A reads; 1 A has x; 1 A tells B; 1 B has x`},
		{"the reader is cut off, the others are in touch", `
			0.6 A loses; 1.2 B reads; 1.2 C reads; 1.5 store x; 2.2 B reads; 2.2 B has x; 2.2 C reads; 3.2 B reads; 3.2 B tells C; 4.2 B reads;
			5.2 B reads; 5.9 A reads; 5.9 A has x y?; 5.9 A tells B C; 5.9 B has x; 5.9 C has x; 6 B tells A; 6 A has x`},
		{"the cut-off reader gets the list of one in touch", `
			0.6 A loses; 1.2 B reads; 1.2 B tells A; 1.5 store x; 2.2 B reads; 2.2 B tells A; 2.2 A has x; 5.9 A reads; 5.9 A has x`},
		{"an upstream leaves between the last list of the reader and the first of the next one", `
			0.1 store x; 0.6 A loses; 1.2 B reads; 1.2 B has x; 1.2 B tells A; 1.2 A has x`},
		{"a short cut, in which the upstream leaves after the other's last list", `
			0.6 A loses; 1.2 B reads; 2.2 B reads; 2.3 store x; 2.6 A reads; 2.6 A has x y?; 2.6 A tells B; 2.6 B has x`},
		{"two are cut off one after the other", `
			0.6 A loses; 1.2 B reads; 1.2 B tells C; 1.9 B loses; 2.0 store x; 2.4 C reads; 2.4 C has x; 3.4 C reads; 5 A reads; 5 A tells C;
			5 C has x; 5 C tells A B; 5 A has x; 5 B has x; 6.8 B reads; 6.8 B has x`},
		{"two are cut off with no third one in touch", `
			0.6 A loses; 1.2 B reads; 1.5 store x; 2.2 B reads; 2.2 B has x; 2.9 B loses; 4 A reads; 4 A has x y?; 4 A tells B; 4 B has x;
			4 B tells A; 4 A has x`},
		{"the list of one that lost the store since tells that the upstream left before", `
			0.6 A loses; 1.2 B reads; 1.5 store x; 2.2 B reads; 2.9 B loses; 6 A reads; 6 A has x y?; 6 B tells A; 6 A has x`},
		{"the reader is cut off while the others stand still", `
			0.6 A loses; 1 store x; 5 B reads; 5 B has x; 5.1 C loses; 5.2 C reads; 5.2 C has x y?; 5.3 B tells C; 5.3 C has x y?; 6.9 A reads;
			6.9 A has x y?; 6.9 A tells B C; 6.9 B has x; 6.9 C has x y?; 7.2 B reads; 7.2 B tells A C; 7.2 C has x; 8.9 A reads; 8.9 A has x`},
		{"the reader is killed while it is cut off", `
			0.6 A loses; 1.2 B reads; 1.5 store x; 2.2 B reads; 3 A starts; 4 A reads; 4 A tells B C; 4 A has x; 4 B has x`},
		{"a process that starts during the cut", `
			0.6 A loses; 1.2 B reads; 1.5 store x; 1.6 A tells D; 1.6 D has x y; 1.7 D reads; 1.7 D has x; 5.9 A reads; 5.9 A tells D;
			5.9 D has x`},
		{"a read from before is delivered late", `
			0.6 A reads slowly; 0.7 store x; 1.2 B reads; 1.2 B has x; 1.3 A gets; 1.3 A tells B; 1.3 B has x`},
		{"the store is away, all entries lapse and come back", `
			0.6 A loses; 1.3 B loses; 1.3 C loses; 4.5 store; 5 A reads; 5 A has x? y?; 5 A tells B C; 5 B has x? y?; 5.4 store x; 5.5 A reads;
			5.5 A has x y?; 6.4 store x y; 6.5 A reads; 6.5 A tells B; 6.5 A has x y; 6.5 B has x y`},
		{"an upstream does not come back after an outage", `
			0.6 A loses; 1.3 B loses; 4.5 store x; 5 A reads; 5 A tells B; 6.9 A reads; 6.9 A has x y?; 7 A reads; 7 A has x; 7 A tells B;
			7 B has x`},
		{"two outages in a row", `
			0.6 A loses; 4.5 store; 5 A reads; 5 A has x? y?; 6 A loses; 10 A reads; 10 A has x? y?; 11.5 store x y; 11.6 A reads;
			11.6 A has x y`},
		{"two outages in a row, and an upstream that left between them", `
			0.6 A loses; 4.5 store y; 5 A reads; 6 A loses; 10 A reads; 11 A reads; 12 A reads; 12 A has y`},
		{"a new reader does not know the entries that lapsed", `
			0.6 A loses; 1.3 B loses; 3 A starts; 4.5 store; 5 A reads; 5 A tells B; 5 B has x? y?; 6 store x y; 6.1 A reads; 6.1 A tells B;
			6.1 B has x y`},
		{"an upstream starts again under its id while its entry lapsed", `
			0.6 A loses; 4.5 store x; 5 A reads; 5 A has x y?; 6 store x y@2; 6 A reads; 6 A has x y`},
		{"an entry turns odd, in calm and after an outage", `
			0.5 store x !y; 1 A reads; 1 A tells B; 1 A has x; 1 B has x; 1.5 store x y; 2 A reads; 2 A tells B; 2 B has x y; 2.5 A loses;
			2.5 B loses; 5 store x !y; 6 A reads; 6 A has x; 6 A tells B; 6 B has x`},
		{"the store goes back to a copy from before the entry", `
			0.5 restored x; 1 A reads; 1 A has x y?; 1 A tells B; 1 B has x y?; 1.5 A reads; 1.5 A has x y?; 1.5 A tells B; 1.5 B has x y?;
			2 store x y; 2 A reads; 2 A has x y`},
		{"the store goes back to a copy with the entry of an upstream that left", `
			0.5 store x; 1 A reads; 1 A tells B; 1.2 restored x y; 1.5 A reads; 1.5 A has x; 1.5 A tells B; 1.5 B has x; 5.8 A reads;
			5.8 A has x; 6.5 A reads; 6.5 A has x y`},
		{"the store goes back to a copy right after a cut", `
			0.6 A loses; 1.2 B reads; 1.5 store x; 2.2 B reads; 4.9 restored x y; 5 A reads; 5 A tells B; 5 B has x; 5 B tells A`},
		{"another store takes the place of the one before", `
			0.5 replaced x z; 1 A reads; 1 A has x y; 4 A reads; 4.9 A reads; 4.9 A has x y? z; 7 A reads; 7 A has x z`},
		{"a list of a lost history", `
			0.6 A reads slowly; 0.8 restored x; 1 B reads; 1 A gets; 1 A tells B; 1 B has x y?`},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := &replay{start: time.Now(), processes: make(map[string]*replayed)}
			if problem := r.play(steady + ";" + c.script); problem != "" {
				t.Error(problem)
			}
		})
	}
}

// Guards against messages of another process that claim a contact that cannot be.
func TestOddContacts(t *testing.T) {
	now := time.Now()
	known := New(options)
	sound := Contact{Since: 5, Revision: 5, SinceAt: now, ReadAt: now}
	if _, changed := known.Apply(&List{Contact: sound, Upstreams: []*fleet.Upstream{{ID: "x"}}}, time.Time{}, now); !changed {
		t.Fatal("a list is not taken")
	}
	for _, odd := range []Contact{{}, {Revision: 9}, {Since: 10, Revision: 9}, {Since: -1, Revision: 9}, {Since: 1, Revision: 1<<historyBits | 9}} {
		odd.SinceAt, odd.ReadAt = now, now.Add(time.Second)
		if _, changed := known.Apply(&List{Contact: odd}, time.Time{}, now); changed || len(known.Upstreams()) != 1 {
			t.Errorf("taken: %+v", odd)
		}
	}
}

// Guards against a process that reads for the others although it does not know yet what is missing.
func TestCurrent(t *testing.T) {
	r := &replay{start: time.Now(), processes: make(map[string]*replayed)}
	for _, c := range []struct {
		script string
		want   bool
	}{
		{"0 A has", false}, {"0 A reads", false}, {"1 A reads", false}, {"2 A reads", true}, {"4.4 A has", true}, {"4.5 A has", false}, {"5 A reads", false},
		{"6 A reads", false}, {"7 A reads", true},
	} {
		if problem := r.play(c.script); problem != "" {
			t.Fatal(problem)
		}
		if got := r.process("A").known.Current(r.now); got != c.want {
			t.Errorf("%s: current %v", c.script, got)
		}
	}
}
