package settings

import (
	"bytes"
	"strings"

	"github.com/go-faster/errors"
	"gopkg.in/ini.v1"
)

// SectionLines locates a section and its keys in a text.
type SectionLines struct {
	// Name is the text between the brackets, for example `account "vendor-app"`.
	Name string
	// Line of the header, counted from 1.
	Line int
	// LastLine is the last line of the section that is neither empty nor a comment.
	LastLine int
	// Keys holds the line of each key.
	Keys map[string]int
}

// byteOrderMark may stand at the start of files written by some editors.
const byteOrderMark = "\ufeff"

// Index locates all sections and keys of text. It also returns the faults of syntax, and a copy of the text in which
// the faulty lines are empty, so that one wrong line does not hide the faults of the others.
//
// The index exists because gopkg.in/ini.v1 does not report line numbers.
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
		return "", "text after the section header"
	}
	return name, ""
}

// indexKey records the line of a key. The text of a line that is no key is not part of the problem, because it may be
// a client's key that was pasted by mistake.
func indexKey(line string, number int, section *SectionLines) (problem string) {
	key, value, found := strings.Cut(line, "=")
	key = strings.TrimSpace(key)
	value = strings.TrimSpace(value)
	switch {
	case !found:
		return "line is neither a section, a key = value nor a comment"
	case key == "" || strings.ContainsAny(key, "\"`'") || key == "-":
		return "key = value without a plain key name"
	case strings.HasPrefix(value, `"""`) || strings.HasPrefix(value, "`"):
		return "value in triple quotes or backquotes; use single or double quotes"
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

// loadOptions keep every section and every line apart, so that the file agrees with the index.
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
	// The first section is the one for keys without a section; the index refuses such keys.
	sections := file.Sections()[1:]
	if len(sections) != len(index) {
		return nil, errors.Errorf("parse INI: %d sections where %d were indexed", len(sections), len(index))
	}
	return sections, nil
}
