package settings

import (
	"fmt"
	"regexp"
	"sort"
	"strings"
)

// Fault is one error in a file.
type Fault struct {
	File string
	// Line counts from 1. It is 0 if the fault belongs to no line, for example if a section is missing.
	Line    int
	Section string
	Key     string
	Value   string
	// Problem says what is wrong.
	Problem string
	// Allowed describes the accepted values; empty if Problem already does.
	Allowed string
	// Hint is the known name that is closest to a misspelt one; empty if there is none.
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

// Faults is an error that lists the faults of a file.
type Faults struct {
	List []Fault

	// keys holds the keys that have a fault.
	keys map[position]bool
}

// Error returns one line of text for each fault, in the order of List.
func (f *Faults) Error() string {
	lines := make([]string, len(f.List))
	for i, fault := range f.List {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// Err sorts the faults by line and returns f, or nil if there are no faults.
func (f *Faults) Err() error {
	if f == nil || len(f.List) == 0 {
		return nil
	}
	sort.SliceStable(f.List, func(i, j int) bool { return f.List[i].Line < f.List[j].Line })
	return f
}

// Add appends a fault and masks client keys in its Section, Key, Value and Problem. Only the first fault of a key is kept, so
// that later checks do not report the same value again.
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

// Has reports whether the key already has a fault.
func (f *Faults) Has(section, key string) bool {
	return f.keys[position{section, key}]
}

// clientKey matches keys of client accounts. An operator may paste one in the wrong place, and it must not reach the logs.
var clientKey = regexp.MustCompile(`fd_[A-Za-z0-9_-]{8,}`)

func redact(text string) string {
	return clientKey.ReplaceAllString(text, "fd_(not shown)")
}

// closestName returns the known name with the smallest edit distance to name, or "" if all differ too much.
func closestName(name string, known []string) string {
	limit := max(2, len(name)/3)
	best, bestDistance := "", limit+1
	for _, candidate := range known {
		if d := editDistance(name, candidate); d < bestDistance {
			best, bestDistance = candidate, d
		}
	}
	return best
}

// editDistance returns the Levenshtein distance of the first maxCompared bytes of both texts.
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
