package settings

import (
	"bytes"
	"strings"

	"github.com/go-faster/errors"
	"gopkg.in/ini.v1"
)

// SectionLines holds the line numbers of a section and its keys.
type SectionLines struct {
	// Name is the text between the brackets, for example `account "vendor-app"`.
	Name string
	// Line is the line of the header, counted from 1.
	Line int
	// LastLine is the line of the section's last key, or of the header if the section has no keys.
	LastLine int
	// Keys maps each key to its line.
	Keys map[string]int
}

// byteOrderMark is written at the start of files by some editors.
const byteOrderMark = "\ufeff"

// Index finds the lines of all sections and keys of text. It also returns the syntax faults and a copy of the text in
// which the lines with syntax faults are empty, so that the rest can still be parsed and checked.
//
// The index is needed because gopkg.in/ini.v1 does not report line numbers.
func Index(name string, text []byte) ([]SectionLines, []byte, *Faults) {
	faults := &Faults{}
	var sections []SectionLines
	lines := bytes.Split(bytes.TrimPrefix(text, []byte(byteOrderMark)), []byte("\n"))
	for i, raw := range lines {
		line := strings.TrimSpace(string(raw))
		number := i + 1
		var problem string
		switch {
		case line == "" || line[0] == '#' || line[0] == ';':
			continue
		case line[0] == '[':
			var section string
			if section, problem = sectionHeader(line); problem == "" {
				sections = append(sections, SectionLines{Name: section, Line: number, LastLine: number, Keys: map[string]int{}})
			}
		default:
			var current *SectionLines
			if len(sections) > 0 {
				current = &sections[len(sections)-1]
			}
			problem = indexKey(line, number, current)
		}
		if problem != "" {
			section := ""
			if len(sections) > 0 {
				section = sections[len(sections)-1].Name
			}
			faults.Add(Fault{File: name, Line: number, Section: section, Problem: problem})
			lines[i] = nil
		}
	}
	return sections, bytes.Join(lines, []byte("\n")), faults
}

func sectionHeader(line string) (name, problem string) {
	end := strings.LastIndexByte(line, ']')
	if end < 0 {
		return "", "section header without closing bracket"
	}
	name = line[1:end]
	if strings.TrimSpace(name) == "" {
		return "", "section header without a name"
	}
	rest := strings.TrimSpace(line[end+1:])
	if rest != "" && rest[0] != '#' && rest[0] != ';' {
		return "", "unexpected text after the section header"
	}
	return name, ""
}

// indexKey records the line of a key, or returns the problem of the line. The problem does not quote a malformed line,
// because the line may be a client's key that was pasted by mistake.
func indexKey(line string, number int, section *SectionLines) (problem string) {
	key, value, found := strings.Cut(line, "=")
	key = strings.TrimSpace(key)
	value = strings.TrimSpace(value)
	switch {
	case !found:
		return "line is neither a section header, a key = value pair nor a comment"
	case key == "" || strings.ContainsAny(key, "\"`'") || key == "-":
		return "key name is empty, is \"-\" or contains quotes"
	case strings.HasPrefix(value, `"""`) || strings.HasPrefix(value, "`"):
		return "value is in triple quotes or backquotes; use single or double quotes"
	case section == nil:
		return "key before the first section"
	}
	if _, ok := section.Keys[key]; ok {
		return "key " + key + " is given twice in this section"
	}
	section.Keys[key] = number
	section.LastLine = number
	return ""
}

// loadOptions disables line continuation and the merging of sections, so that the parsed sections correspond to the index.
var loadOptions = ini.LoadOptions{
	IgnoreContinuation:       true,
	SpaceBeforeInlineComment: true,
	KeyValueDelimiters:       "=",
	AllowNonUniqueSections:   true,
}

// parse returns the sections of text in the order of the index.
func parse(text []byte, index []SectionLines) ([]*ini.Section, error) {
	file, err := ini.LoadSources(loadOptions, text)
	if err != nil {
		return nil, errors.Wrap(err, "parse INI")
	}
	// The first section holds the keys before the first header; Index reports such keys as faults.
	sections := file.Sections()[1:]
	if len(sections) != len(index) {
		return nil, errors.Errorf("parse INI: %d sections where %d were indexed", len(sections), len(index))
	}
	return sections, nil
}
