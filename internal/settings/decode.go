// Package settings reads INI files into the messages of the configuration schema.
//
// A section of the file fills a message field, and its keys fill the fields of that message. A section header consists
// of the kind of the section and, for repeated fields, a quoted name. [account "vendor-app"] is an element of the
// repeated field "accounts": its kind is the field's name without the final "s", and the quoted name is stored in the
// element's field "name". The kind of a field called "header" is the name of the message that contains it, in lower case:
// the section [document] fills the header of a Document.
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
	durationMessage = "google.protobuf.Duration"
	// nameField is the field that holds the quoted name of a section.
	nameField   = "name"
	headerField = "header"
)

// Load decodes the file at path into message, see Decode.
func Load(path string, message proto.Message) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read settings")
	}
	return Decode(path, text, message)
}

// Decode fills message from text. If message holds the settings of a program, Decode also sets defaults and validates the
// values. name is the file name in faults. The error is a *Faults with all faults.
func Decode(name string, text []byte, message proto.Message) error {
	positions, faults := DecodeWithRules(name, text, message, processRules)
	checkTLS(message, positions, faults)
	return faults.Err()
}

// Positions records the lines of the sections and keys of a file.
type Positions struct {
	File  string
	lines map[position]int
}

type position struct{ section, key string }

// Line returns the line of a key, the line of the section's header if the key is absent, or 0 if the section is absent.
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

// SectionName returns the header of a named section without brackets, for example `account "vendor-app"`.
func SectionName(kind, name string) string {
	return kind + ` "` + name + `"`
}

// DecodeWithRules fills message from text, sets the defaults of rules and checks the values against rules.
func DecodeWithRules(name string, text []byte, message proto.Message, rules Rules) (*Positions, *Faults) {
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
		d.decodeSection(message.ProtoReflect(), section, &index[i])
	}
	applyRules(message, rules, d.positions, faults)
	return d.positions, faults
}

type decoder struct {
	positions *Positions
	faults    *Faults
	rules     Rules
}

func (d *decoder) addFault(f Fault) {
	f.File = d.positions.File
	d.faults.Add(f)
}

func (d *decoder) decodeSection(root protoreflect.Message, section *ini.Section, lines *SectionLines) {
	kind, name, quoted, ok := splitHeader(lines.Name)
	if !ok {
		d.addFault(Fault{Line: lines.Line, Section: lines.Name, Problem: "malformed section header",
			Allowed: `[section] or [section "name"]`})
		return
	}
	field := findSection(root.Descriptor(), kind)
	if field == nil {
		known := sectionKinds(root.Descriptor())
		d.addFault(Fault{Line: lines.Line, Section: lines.Name, Problem: "unknown section",
			Allowed: strings.Join(known, ", "), Hint: closestName(kind, known)})
		return
	}
	if quoted != field.IsList() {
		d.addFault(Fault{Line: lines.Line, Section: lines.Name, Problem: "malformed section header", Allowed: headerFormat(field)})
		return
	}
	if quoted && !IsName(name) {
		d.addFault(Fault{Line: lines.Line, Section: lines.Name, Problem: "bad name", Allowed: Name().Allowed})
		return
	}
	header := kind
	if quoted {
		header = SectionName(kind, name)
	}
	if first, ok := d.positions.lines[position{section: header}]; ok {
		d.addFault(Fault{Line: lines.Line, Section: header, Problem: "section is given twice; first on line " + strconv.Itoa(first)})
		return
	}
	d.positions.lines[position{section: header}] = lines.Line
	d.decodeKeys(sectionMessage(root, field, name), header, section, lines)
}

// sectionMessage returns the message that a section fills. For a repeated field it appends a new element.
func sectionMessage(root protoreflect.Message, field protoreflect.FieldDescriptor, name string) protoreflect.Message {
	if !field.IsList() {
		return root.Mutable(field).Message()
	}
	message := root.Mutable(field).List().AppendMutable().Message()
	message.Set(message.Descriptor().Fields().ByName(nameField), protoreflect.ValueOfString(name))
	return message
}

func (d *decoder) decodeKeys(message protoreflect.Message, header string, section *ini.Section, lines *SectionLines) {
	fields := message.Descriptor().Fields()
	for _, key := range section.Keys() {
		line := lines.Keys[key.Name()]
		field := fields.ByName(protoreflect.Name(key.Name()))
		if field == nil || strings.Contains(header, `"`) && key.Name() == nameField {
			known := keyNames(message.Descriptor(), header)
			d.addFault(Fault{Line: line, Section: header, Key: key.Name(), Problem: "unknown key",
				Allowed: strings.Join(known, ", "), Hint: closestName(key.Name(), known)})
			continue
		}
		d.positions.lines[position{header, key.Name()}] = line
		value, allowed := parseValue(field, key.Value())
		if allowed != "" {
			d.addFault(Fault{Line: line, Section: header, Key: key.Name(),
				Value: maskSecret(d.rules[field.FullName()], key.Value()), Problem: "bad value", Allowed: allowed})
			continue
		}
		message.Set(field, value)
	}
}

// maskSecret returns the value as it appears in a fault.
func maskSecret(rule Rule, value string) string {
	if rule.Secret {
		return "(not shown)"
	}
	return value
}

// splitHeader splits a header such as `account "vendor-app"` into its kind and name.
func splitHeader(header string) (kind, name string, quoted, ok bool) {
	kind, rest, _ := strings.Cut(strings.TrimSpace(header), " ")
	rest = strings.TrimSpace(rest)
	if rest == "" {
		return kind, "", false, !strings.Contains(kind, `"`)
	}
	if len(rest) < 2 || rest[0] != '"' || rest[len(rest)-1] != '"' {
		return kind, "", false, false
	}
	return kind, rest[1 : len(rest)-1], true, true
}

// sectionKind returns the kind of the sections that fill a field, or "" if no section fills it.
func sectionKind(field protoreflect.FieldDescriptor) string {
	if field.Kind() != protoreflect.MessageKind || field.Message().FullName() == durationMessage {
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

// headerFormat returns the header that sections of the field must have.
func headerFormat(field protoreflect.FieldDescriptor) string {
	if field.IsList() {
		return "[" + SectionName(sectionKind(field), "name") + "]"
	}
	return "[" + sectionKind(field) + "]"
}

func findSection(message protoreflect.MessageDescriptor, kind string) protoreflect.FieldDescriptor {
	fields := message.Fields()
	for i := range fields.Len() {
		if kind != "" && sectionKind(fields.Get(i)) == kind {
			return fields.Get(i)
		}
	}
	return nil
}

func sectionKinds(message protoreflect.MessageDescriptor) []string {
	var kinds []string
	fields := message.Fields()
	for i := range fields.Len() {
		if kind := sectionKind(fields.Get(i)); kind != "" {
			kinds = append(kinds, kind)
		}
	}
	return kinds
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
