package settings

import (
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// applyRules sets the default values in all sections of message, and adds a fault for each required value that is missing
// and for each value that its rule does not allow. A field with its zero value counts as unset unless positions shows that
// the key is in the text.
func applyRules(message proto.Message, rules Rules, positions *Positions, faults *Faults) {
	c := &checker{rules: rules, positions: positions, faults: faults}
	root := message.ProtoReflect()
	fields := root.Descriptor().Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		kind := sectionKind(field)
		switch {
		case kind == "":
		case field.IsList():
			c.checkList(root, field, kind)
		default:
			c.checkSection(root.Mutable(field).Message(), kind, false)
		}
	}
}

// checker applies the rules to one message.
type checker struct {
	rules     Rules
	positions *Positions
	faults    *Faults
}

func (c *checker) checkList(root protoreflect.Message, field protoreflect.FieldDescriptor, kind string) {
	list := root.Get(field).List()
	for i := range list.Len() {
		message := list.Get(i).Message()
		name := message.Get(message.Descriptor().Fields().ByName(nameField)).String()
		c.checkSection(message, SectionName(kind, name), true)
	}
}

func (c *checker) checkSection(message protoreflect.Message, header string, named bool) {
	fields := message.Descriptor().Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		if named && field.Name() == nameField {
			continue
		}
		c.checkField(message, field, header)
	}
}

func (c *checker) checkField(message protoreflect.Message, field protoreflect.FieldDescriptor, header string) {
	rule, ok := c.rules[field.FullName()]
	key := string(field.Name())
	if !ok || c.faults.Has(header, key) {
		return
	}
	fault := Fault{Line: c.positions.Line(header, key), Section: header, Key: key, Allowed: rule.Allowed}
	if c.positions != nil {
		fault.File = c.positions.File
	}
	if !message.Has(field) && !c.positions.Has(header, key) {
		if rule.Default != "" {
			value, _ := parseValue(field, rule.Default)
			message.Set(field, value)
		}
		if rule.Required {
			fault.Problem = "required key is missing"
			c.faults.Add(fault)
		}
		return
	}
	text := FormatValue(field, message.Get(field))
	if rule.Check != nil && !rule.Check(text) {
		fault.Value = maskSecret(rule, text)
		fault.Problem = "bad value"
		c.faults.Add(fault)
	}
}
