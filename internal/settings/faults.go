package settings

import (
	"fmt"
	"regexp"
	"sort"
	"strings"
)

// Fault is one thing that is wrong in a file.
type Fault struct {
	File string
	// Line counts from 1; 0 if the fault has no line, for example a missing section.
	Line    int
	Section string
	Key     string
	Value   string
	// Problem says what is wrong.
	Problem string
	// Allowed says what may stand there; empty if Problem already says so.
	Allowed string
	// Hint is the nearest known name; empty for none.
	Hint string
}

// String returns the fault on one line.
func (f Fault) String() string {
	var b strings.Builder
	b.WriteString(f.File)
	if f.Line > 0 {
		fmt.Fprintf(&b, ":%d", f.Line)
	}
	b.WriteString(": ")
	if f.Section != "" {
		fmt.Fprintf(&b, "[%s] ", f.Section)
	}
	if f.Key != "" {
		b.WriteString(f.Key)
		if f.Value != "" {
			fmt.Fprintf(&b, " = %q", f.Value)
		}
		b.WriteString(": ")
	}
	b.WriteString(f.Problem)
	if f.Allowed != "" {
		b.WriteString("; allowed: " + f.Allowed)
	}
	if f.Hint != "" {
		fmt.Fprintf(&b, "; did you mean %q?", f.Hint)
	}
	return b.String()
}

// Faults is the error of a file with one or more faults.
type Faults struct {
	List []Fault

	keys map[position]bool
}

// Error returns one line for each fault, ordered by line.
func (f *Faults) Error() string {
	lines := make([]string, len(f.List))
	for i, fault := range f.List {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns f ordered by line, or nil if there are no faults.
func (f *Faults) Err() error {
	if f == nil || len(f.List) == 0 {
		return nil
	}
	sort.SliceStable(f.List, func(i, j int) bool { return f.List[i].Line < f.List[j].Line })
	return f
}

// Add appends a fault. At most one fault is kept for a key of a section, so that a follow-up check does not repeat the
// first finding.
func (f *Faults) Add(fault Fault) {
	if fault.Key != "" {
		if f.Has(fault.Section, fault.Key) {
			return
		}
		if f.keys == nil {
			f.keys = map[position]bool{}
		}
		f.keys[position{fault.Section, fault.Key}] = true
	}
	fault.Section = redact(fault.Section)
	fault.Key = redact(fault.Key)
	fault.Value = redact(fault.Value)
	fault.Problem = redact(fault.Problem)
	f.List = append(f.List, fault)
}

// Has reports whether a fault of the key is already known.
func (f *Faults) Has(section, key string) bool {
	return f.keys[position{section, key}]
}

// clientKey matches keys of client accounts. They may be pasted in a wrong place by mistake and must not reach logs.
var clientKey = regexp.MustCompile(`fd_[A-Za-z0-9_-]{8,}`)

func redact(text string) string {
	return clientKey.ReplaceAllString(text, "fd_(not shown)")
}

// nearest returns the known name with the smallest edit distance to name, or "" if none is near.
func nearest(name string, known []string) string {
	limit := max(2, len(name)/3)
	best, bestDistance := "", limit+1
	for _, candidate := range known {
		if d := editDistance(name, candidate); d < bestDistance {
			best, bestDistance = candidate, d
		}
	}
	return best
}

// editDistance is the Levenshtein distance. Names longer than maxCompared are cut.
func editDistance(a, b string) int {
	const maxCompared = 64
	a, b = a[:min(len(a), maxCompared)], b[:min(len(b), maxCompared)]
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := 1; i <= len(a); i++ {
		diagonal := row[0]
		row[0] = i
		for j := 1; j <= len(b); j++ {
			cost := 1
			if a[i-1] == b[j-1] {
				cost = 0
			}
			next := min(row[j]+1, row[j-1]+1, diagonal+cost)
			diagonal, row[j] = row[j], next
		}
	}
	return row[len(b)]
}
