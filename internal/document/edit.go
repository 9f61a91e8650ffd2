package document

import (
	"strings"

	"github.com/go-faster/errors"

	"github.com/fulmardoor/fulmardoor/internal/settings"
)

// ErrNoSection means that the text has no section with the given name.
var ErrNoSection = errors.New("no such section")

// The Set functions change or add single lines of a text and preserve all other lines, including comments. They do not
// validate the resulting document; Parse does.

// SetKey grants a key: it adds the section [key "name"] if it is missing, and sets its account, hash and the state granted.
func SetKey(text []byte, name, account, sha256 string) ([]byte, error) {
	if !settings.IsName(name) || !settings.IsName(account) || !settings.IsSHA256(sha256) {
		return nil, errors.New("malformed key name, account or SHA-256")
	}
	e := newEditor(text)
	section := settings.SectionName("key", name)
	if !e.has(section) {
		e.appendSection(section)
	}
	e.set(section, "account", account)
	e.set(section, "sha256", sha256)
	e.set(section, "state", StateGranted)
	return e.text(), nil
}

// SetKeyState sets the state of a key to StateGranted or StateWithdrawn. It returns ErrNoSection if there is no
// such section.
func SetKeyState(text []byte, name, state string) ([]byte, error) {
	return setExisting(text, settings.SectionName("key", name), "state", state, StateGranted, StateWithdrawn)
}

// SetUpstreamState sets the state of an upstream to StateActive or StateLeaving. It returns ErrNoSection if
// there is no such section.
func SetUpstreamState(text []byte, name, state string) ([]byte, error) {
	return setExisting(text, settings.SectionName("upstream", name), "state", state, StateActive, StateLeaving)
}

// SetApplyID sets the identifier of the apply that writes this version. It returns ErrNoSection if the text has
// no section [document].
func SetApplyID(text []byte, id string) ([]byte, error) {
	return setExisting(text, "document", "apply_id", id, id)
}

func setExisting(text []byte, section, key, value string, allowed ...string) ([]byte, error) {
	valid := false
	for _, candidate := range allowed {
		valid = valid || candidate == value
	}
	if !valid {
		return nil, errors.Errorf("bad %s %q; allowed: %s", key, value, strings.Join(allowed, ", "))
	}
	e := newEditor(text)
	if !e.has(section) {
		return nil, errors.Wrapf(ErrNoSection, "[%s]", section)
	}
	e.set(section, key, value)
	return e.text(), nil
}

// editor changes the lines of a document's text.
type editor struct {
	lines []string
	// carriageReturn is "\r" if the lines of the text end in "\r\n", and empty otherwise.
	carriageReturn string
	sections       []settings.SectionLines
}

func newEditor(text []byte) *editor {
	e := &editor{lines: strings.Split(string(text), "\n"), carriageReturn: ""}
	if strings.Contains(string(text), "\r\n") {
		e.carriageReturn = "\r"
	}
	e.index()
	return e
}

func (e *editor) text() []byte { return []byte(strings.Join(e.lines, "\n")) }

// index locates the sections again after lines were added.
func (e *editor) index() { e.sections, _, _ = settings.Index("", e.text()) }

func (e *editor) find(name string) *settings.SectionLines {
	for i := range e.sections {
		if normalizeHeader(e.sections[i].Name) == name {
			return &e.sections[i]
		}
	}
	return nil
}

// normalizeHeader reduces the space between the kind and the name of a section to one character.
func normalizeHeader(header string) string {
	kind, name, found := strings.Cut(strings.TrimSpace(header), " ")
	if !found {
		return kind
	}
	return kind + " " + strings.TrimSpace(name)
}

func (e *editor) has(section string) bool { return e.find(section) != nil }

func (e *editor) appendSection(name string) {
	last := len(e.lines) - 1
	if strings.TrimSpace(e.lines[last]) == "" {
		e.lines = e.lines[:last]
	} else {
		e.lines[last] = strings.TrimSuffix(e.lines[last], "\r") + e.carriageReturn
	}
	if len(e.lines) > 0 {
		e.lines = append(e.lines, e.carriageReturn)
	}
	e.lines = append(e.lines, "["+name+"]"+e.carriageReturn, "")
	e.index()
}

// set changes the value of a key of an existing section, or adds the key after the section's last key.
func (e *editor) set(section, key, value string) {
	existing := e.find(section)
	if number, ok := existing.Keys[key]; ok {
		e.lines[number-1] = replaceValue(e.lines[number-1], value)
		return
	}
	line := key + " = " + value + e.carriageReturn
	at := existing.LastLine
	rest := append([]string{line}, e.lines[at:]...)
	e.lines = append(e.lines[:at:at], rest...)
	if at == len(e.lines)-1 {
		// The line before the new one was the last of the text and had no line ending.
		e.lines[at-1] = strings.TrimSuffix(e.lines[at-1], "\r") + e.carriageReturn
		e.lines = append(e.lines, "")
	}
	e.index()
}

// replaceValue changes the value in a key = value line and preserves white space and the inline comment.
func replaceValue(line, value string) string {
	equals := strings.IndexByte(line, '=')
	head, tail := line[:equals+1], line[equals+1:]
	space := tail[:len(tail)-len(strings.TrimLeft(tail, " \t"))]
	old := strings.TrimRight(tail[len(space):], " \t\r")
	return head + space + value + inlineComment(old) + strings.TrimPrefix(tail[len(space):], old)
}

// inlineComment returns the comment after a value, including the space before it. As in the INI parser, a comment starts
// with "#" or ";" after a space and outside quotes.
func inlineComment(value string) string {
	from := 0
	if value != "" && (value[0] == '"' || value[0] == '\'') {
		if end := strings.IndexByte(value[1:], value[0]); end >= 0 {
			from = end + 2
		}
	}
	for i := from; i < len(value); i++ {
		if (value[i] == '#' || value[i] == ';') && i > 0 && value[i-1] == ' ' {
			return value[len(strings.TrimRight(value[:i], " \t")):]
		}
	}
	return ""
}
