package document

import (
	"fmt"
	"strings"

	"google.golang.org/protobuf/reflect/protoreflect"

	configv1 "github.com/fulmardoor/fulmardoor/api/config/v1"
	"github.com/fulmardoor/fulmardoor/internal/settings"
)

// Change is one difference between two documents.
type Change struct {
	// Section is the header without brackets, for example `account "vendor-app"`.
	Section string
	// Text says what changed.
	Text string
}

// String returns the change on one line.
func (c Change) String() string { return "[" + c.Section + "] " + c.Text }

// Diff returns the changes from old to new in the order of the documents. Either may be nil. The identifier of the
// apply is left out.
func Diff(old, new *configv1.Document) []Change {
	var changes []Change
	if a, b := old.GetHeader().GetTeam(), new.GetHeader().GetTeam(); a != b {
		changes = append(changes, Change{Section: "document", Text: fmt.Sprintf("team: %q -> %q", a, b)})
	}
	before := bySection(old)
	after := bySection(new)
	for _, s := range sections(old) {
		if _, kept := after[s.header()]; !kept {
			changes = append(changes, Change{Section: s.header(), Text: "removed"})
		}
	}
	for _, s := range sections(new) {
		previous, known := before[s.header()]
		if !known {
			changes = append(changes, Change{Section: s.header(), Text: "added: " + describe(s.message)})
			continue
		}
		changes = append(changes, diffFields(s.header(), previous, s.message)...)
	}
	return changes
}

func bySection(document *configv1.Document) map[string]protoreflect.Message {
	all := map[string]protoreflect.Message{}
	for _, s := range sections(document) {
		all[s.header()] = s.message
	}
	return all
}

// describe lists the values of a section.
func describe(message protoreflect.Message) string {
	var parts []string
	fields := message.Descriptor().Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		if field.Name() != "name" && message.Has(field) {
			parts = append(parts, fmt.Sprintf("%s %s", field.Name(), shownValue(field, message)))
		}
	}
	return strings.Join(parts, ", ")
}

func diffFields(header string, old, new protoreflect.Message) []Change {
	var changes []Change
	fields := new.Descriptor().Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		if settings.Text(field, old.Get(field)) == settings.Text(field, new.Get(field)) {
			continue
		}
		text := fmt.Sprintf("%s: %s -> %s", field.Name(), shownValue(field, old), shownValue(field, new))
		changes = append(changes, Change{Section: header, Text: text})
	}
	return changes
}

// shownValue returns a value for the operator. Of a hash the first digits are enough to tell two keys apart.
func shownValue(field protoreflect.FieldDescriptor, message protoreflect.Message) string {
	const hashDigits = 8
	text := settings.Text(field, message.Get(field))
	if field.Name() == "sha256" && len(text) > hashDigits {
		return text[:hashDigits] + "..."
	}
	if field.Kind() == protoreflect.StringKind {
		return fmt.Sprintf("%q", text)
	}
	return text
}
