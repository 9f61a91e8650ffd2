package document

import (
	"fmt"
	"strings"

	"google.golang.org/protobuf/reflect/protoreflect"

	configv1 "github.com/fulmardoor/fulmardoor/api/config/v1"
	"github.com/fulmardoor/fulmardoor/internal/settings"
)

// Format returns a document in INI format without the values that equal their defaults. Parse decodes the text to an
// equal document.
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

// section is an element of a repeated field of a document.
type section struct {
	kind    string
	name    string
	message protoreflect.Message
}

func (s section) header() string { return settings.SectionName(s.kind, s.name) }

// sections returns the elements of all repeated fields, in the order of the schema and the document.
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
				kind:    strings.TrimSuffix(string(field.Name()), "s"),
				name:    message.Get(message.Descriptor().Fields().ByName("name")).String(),
				message: message,
			})
		}
	}
	return all
}

// formatFields writes the set fields of a section. If named is set, the name is part of the header and not written.
func formatFields(b *strings.Builder, message protoreflect.Message, named bool) {
	fields := message.Descriptor().Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		if named && field.Name() == "name" || !message.Has(field) {
			continue
		}
		text := settings.FormatValue(field, message.Get(field))
		if text == defaultText(field) {
			continue
		}
		fmt.Fprintf(b, "%s = %s\n", field.Name(), quote(text))
	}
}

// defaultText returns the default of a field in the form that settings.FormatValue returns.
func defaultText(field protoreflect.FieldDescriptor) string {
	rule := rules[field.FullName()]
	if rule.Default == "" {
		return ""
	}
	return settings.Normalize(field, rule.Default)
}

// quote adds quotes to a text in which the INI parser would find a comment or strip quotes or spaces.
func quote(text string) string {
	if !strings.ContainsAny(text, "#;\"'` \t") {
		return text
	}
	if strings.Contains(text, `"`) {
		return "'" + text + "'"
	}
	return `"` + text + `"`
}
