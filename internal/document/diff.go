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
	// Section is the section's header without brackets, for example `account "vendor-app"`.
	Section string
	// Text describes the change.
	Text string
}

// String returns the change on one line.
func (c Change) String() string { return "[" + c.Section + "] " + c.Text }

// Diff returns the changes from old to new: a change of the team, removed sections in the order of old, then added and
// changed sections in the order of new. Either document may be nil. The field apply_id is ignored, because it differs in
// every version.
func Diff(old, new *configv1.Document) []Change {
	var changes []Change
	if a, b := old.GetHeader().GetTeam(), new.GetHeader().GetTeam(); a != b {
		changes = append(changes, Change{Section: "document", Text: fmt.Sprintf("team: %q -> %q", a, b)})
	}
	oldSections := messagesByHeader(old)
	newSections := messagesByHeader(new)
	for _, s := range sections(old) {
		if _, kept := newSections[s.header()]; !kept {
			changes = append(changes, Change{Section: s.header(), Text: "removed"})
		}
	}
	for _, s := range sections(new) {
		previous, exists := oldSections[s.header()]
		if !exists {
			changes = append(changes, Change{Section: s.header(), Text: "added: " + describe(s.message)})
			continue
		}
		changes = append(changes, diffFields(s.header(), previous, s.message)...)
	}
	return changes
}

func messagesByHeader(document *configv1.Document) map[string]protoreflect.Message {
	messages := map[string]protoreflect.Message{}
	for _, s := range sections(document) {
		messages[s.header()] = s.message
	}
	return messages
}

// describe lists the names and values of the set fields of a section.
func describe(message protoreflect.Message) string {
	var parts []string
	fields := message.Descriptor().Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		if field.Name() != "name" && message.Has(field) {
			parts = append(parts, fmt.Sprintf("%s %s", field.Name(), displayValue(field, message)))
		}
	}
	return strings.Join(parts, ", ")
}

func diffFields(header string, old, new protoreflect.Message) []Change {
	var changes []Change
	fields := new.Descriptor().Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		if settings.FormatValue(field, old.Get(field)) == settings.FormatValue(field, new.Get(field)) {
			continue
		}
		text := fmt.Sprintf("%s: %s -> %s", field.Name(), displayValue(field, old), displayValue(field, new))
		changes = append(changes, Change{Section: header, Text: text})
	}
	return changes
}

// displayValue returns a value as operators see it. Key hashes are truncated; the first digits suffice to distinguish keys.
func displayValue(field protoreflect.FieldDescriptor, message protoreflect.Message) string {
	const hashDigits = 8
	text := settings.FormatValue(field, message.Get(field))
	if field.Name() == "sha256" && len(text) > hashDigits {
		return text[:hashDigits] + "..."
	}
	if field.Kind() == protoreflect.StringKind {
		return fmt.Sprintf("%q", text)
	}
	return text
}
