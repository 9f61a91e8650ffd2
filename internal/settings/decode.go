// Package settings reads INI files into the messages of the configuration schema.
//
// A section is a message field and a key is a field of that message. A section with a quoted name, such as
// [account "vendor-app"], is an entry of a repeated message field; its word is the field's name without the final "s",
// and the quoted name goes into the entry's field "name". A field called "header" has the section of its message's
// name, so [document] is the header of a Document.
package settings

import (
	"os"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"gopkg.in/ini.v1"
)

const (
	durationName = "google.protobuf.Duration"
	// nameField receives the quoted name of a section.
	nameField   = "name"
	headerField = "header"
)

// Load reads the file at path as Decode does.
func Load(path string, message proto.Message) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read settings")
	}
	return Decode(path, text, message)
}

// Decode fills message from text. For the settings messages it also fills in defaults and validates. name stands for
// the file in faults. The error is a *Faults with every fault.
func Decode(name string, text []byte, message proto.Message) error {
	positions, faults := DecodeRules(name, text, message, processRules)
	checkTLS(message, positions, faults)
	return faults.Err()
}

// Positions finds the line of a key.
type Positions struct {
	File  string
	lines map[position]int
}

type position struct{ section, key string }

// Line returns the line of a key, or of the section's header if the key is absent; 0 if the section is absent too.
func (p *Positions) Line(section, key string) int {
	if p == nil {
		return 0
	}
	if line, ok := p.lines[position{section, key}]; ok {
		return line
	}
	return p.lines[position{section: section}]
}

// Has reports whether the key is in the text.
func (p *Positions) Has(section, key string) bool {
	if p == nil {
		return false
	}
	_, ok := p.lines[position{section, key}]
	return ok
}

// SectionName returns the header of an entry of a repeated field.
func SectionName(word, name string) string {
	return word + ` "` + name + `"`
}

// DecodeRules fills message from text, fills in the defaults of rules and checks the rules.
func DecodeRules(name string, text []byte, message proto.Message, rules Rules) (*Positions, *Faults) {
	index, clean, faults := Index(name, text)
	d := &decoder{
		positions: &Positions{File: name, lines: map[position]int{}},
		faults:    faults,
		rules:     rules,
	}
	sections, err := parse(clean, index)
	if err != nil {
		faults.Add(Fault{File: name, Problem: err.Error()})
		return d.positions, faults
	}
	for i, section := range sections {
		d.section(message.ProtoReflect(), section, &index[i])
	}
	Check(message, rules, d.positions, faults)
	return d.positions, faults
}

type decoder struct {
	positions *Positions
	faults    *Faults
	rules     Rules
}

func (d *decoder) fault(f Fault) {
	f.File = d.positions.File
	d.faults.Add(f)
}

func (d *decoder) section(root protoreflect.Message, section *ini.Section, lines *SectionLines) {
	word, name, quoted, ok := splitHeader(lines.Name)
	if !ok {
		d.fault(Fault{Line: lines.Line, Section: lines.Name, Problem: "malformed section header",
			Allowed: `[word] or [word "name"]`})
		return
	}
	field := findSection(root.Descriptor(), word)
	if field == nil {
		known := sectionWords(root.Descriptor())
		d.fault(Fault{Line: lines.Line, Section: lines.Name, Problem: "unknown section",
			Allowed: strings.Join(known, ", "), Hint: nearest(word, known)})
		return
	}
	if quoted != field.IsList() {
		d.fault(Fault{Line: lines.Line, Section: lines.Name, Problem: "malformed section header", Allowed: headerForm(field)})
		return
	}
	if quoted && !IsName(name) {
		d.fault(Fault{Line: lines.Line, Section: lines.Name, Problem: "bad name", Allowed: Name().Allowed})
		return
	}
	header := word
	if quoted {
		header = SectionName(word, name)
	}
	if first, ok := d.positions.lines[position{section: header}]; ok {
		d.fault(Fault{Line: lines.Line, Section: header, Problem: "section is given twice; first on line " + strconv.Itoa(first)})
		return
	}
	d.positions.lines[position{section: header}] = lines.Line
	d.keys(entry(root, field, name), header, section, lines)
}

// entry returns the message that a section fills.
func entry(root protoreflect.Message, field protoreflect.FieldDescriptor, name string) protoreflect.Message {
	if !field.IsList() {
		return root.Mutable(field).Message()
	}
	message := root.Mutable(field).List().AppendMutable().Message()
	message.Set(message.Descriptor().Fields().ByName(nameField), protoreflect.ValueOfString(name))
	return message
}

func (d *decoder) keys(message protoreflect.Message, header string, section *ini.Section, lines *SectionLines) {
	fields := message.Descriptor().Fields()
	for _, key := range section.Keys() {
		line := lines.Keys[key.Name()]
		field := fields.ByName(protoreflect.Name(key.Name()))
		if field == nil || strings.Contains(header, `"`) && key.Name() == nameField {
			known := keyNames(message.Descriptor(), header)
			d.fault(Fault{Line: line, Section: header, Key: key.Name(), Problem: "unknown key",
				Allowed: strings.Join(known, ", "), Hint: nearest(key.Name(), known)})
			continue
		}
		d.positions.lines[position{header, key.Name()}] = line
		value, allowed := parseValue(field, key.Value())
		if allowed != "" {
			d.fault(Fault{Line: line, Section: header, Key: key.Name(),
				Value: shown(d.rules[field.FullName()], key.Value()), Problem: "bad value", Allowed: allowed})
			continue
		}
		message.Set(field, value)
	}
}

// shown returns the value for a fault.
func shown(rule Rule, value string) string {
	if rule.Secret {
		return "(not shown)"
	}
	return value
}

// splitHeader splits `account "vendor-app"` into its word and name.
func splitHeader(header string) (word, name string, quoted, ok bool) {
	word, rest, _ := strings.Cut(strings.TrimSpace(header), " ")
	rest = strings.TrimSpace(rest)
	if rest == "" {
		return word, "", false, !strings.Contains(word, `"`)
	}
	if len(rest) < 2 || rest[0] != '"' || rest[len(rest)-1] != '"' {
		return word, "", false, false
	}
	return word, rest[1 : len(rest)-1], true, true
}

// sectionWord returns the word of a field's sections, or "" if the field is no section.
func sectionWord(field protoreflect.FieldDescriptor) string {
	if field.Kind() != protoreflect.MessageKind || field.Message().FullName() == durationName {
		return ""
	}
	if field.IsList() {
		return strings.TrimSuffix(string(field.Name()), "s")
	}
	if field.Name() == headerField {
		return strings.ToLower(string(field.ContainingMessage().Name()))
	}
	return string(field.Name())
}

func headerForm(field protoreflect.FieldDescriptor) string {
	if field.IsList() {
		return "[" + SectionName(sectionWord(field), "name") + "]"
	}
	return "[" + sectionWord(field) + "]"
}

func findSection(message protoreflect.MessageDescriptor, word string) protoreflect.FieldDescriptor {
	fields := message.Fields()
	for i := range fields.Len() {
		if word != "" && sectionWord(fields.Get(i)) == word {
			return fields.Get(i)
		}
	}
	return nil
}

func sectionWords(message protoreflect.MessageDescriptor) []string {
	var words []string
	fields := message.Fields()
	for i := range fields.Len() {
		if word := sectionWord(fields.Get(i)); word != "" {
			words = append(words, word)
		}
	}
	return words
}

func keyNames(message protoreflect.MessageDescriptor, header string) []string {
	var names []string
	fields := message.Fields()
	for i := range fields.Len() {
		name := string(fields.Get(i).Name())
		if name == nameField && strings.Contains(header, `"`) {
			continue
		}
		names = append(names, name)
	}
	return names
}
