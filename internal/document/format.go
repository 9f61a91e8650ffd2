package document

import (
	"fmt"
	"strings"

	"google.golang.org/protobuf/reflect/protoreflect"

	configv1 "github.com/fulmardoor/fulmardoor/api/config/v1"
	"github.com/fulmardoor/fulmardoor/internal/settings"
)

// Format writes a document as INI. Values that equal their default are left out. Parse reads the text back to an equal
// document.
func Format(document *configv1.Document) []byte {
	var b strings.Builder
	if document.GetHeader() != nil {
		b.WriteString("[document]\n")
		formatFields(&b, document.GetHeader().ProtoReflect(), false)
	}
	for _, s := range sections(document) {
		if b.Len() > 0 {
			b.WriteByte('\n')
		}
		fmt.Fprintf(&b, "[%s]\n", s.header())
		formatFields(&b, s.message, true)
	}
	return []byte(b.String())
}

// section is an entry of a repeated field of a document.
type section struct {
	word    string
	name    string
	message protoreflect.Message
}

func (s section) header() string { return settings.SectionName(s.word, s.name) }

// sections returns the entries of all repeated fields in the order of the document.
func sections(document *configv1.Document) []section {
	var all []section
	root := document.ProtoReflect()
	fields := root.Descriptor().Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		if !field.IsList() {
			continue
		}
		list := root.Get(field).List()
		for j := range list.Len() {
			message := list.Get(j).Message()
			all = append(all, section{
				word:    strings.TrimSuffix(string(field.Name()), "s"),
				name:    message.Get(message.Descriptor().Fields().ByName("name")).String(),
				message: message,
			})
		}
	}
	return all
}

func formatFields(b *strings.Builder, message protoreflect.Message, named bool) {
	fields := message.Descriptor().Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		if named && field.Name() == "name" || !message.Has(field) {
			continue
		}
		text := settings.Text(field, message.Get(field))
		if text == defaultText(field) {
			continue
		}
		fmt.Fprintf(b, "%s = %s\n", field.Name(), quote(text))
	}
}

// defaultText returns the default in the form that Text returns.
func defaultText(field protoreflect.FieldDescriptor) string {
	rule := rules[field.FullName()]
	if rule.Default == "" {
		return ""
	}
	return settings.Normal(field, rule.Default)
}

// quote quotes texts that the INI reader would cut.
func quote(text string) string {
	if !strings.ContainsAny(text, "#;\"'` \t") {
		return text
	}
	if strings.Contains(text, `"`) {
		return "'" + text + "'"
	}
	return `"` + text + `"`
}
