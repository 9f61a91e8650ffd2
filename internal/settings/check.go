package settings

import (
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// Check fills in the defaults of rules in all sections of message and adds a fault for each rule that is broken.
// A zero value counts as absent unless positions shows that the key was given.
func Check(message proto.Message, rules Rules, positions *Positions, faults *Faults) {
	c := &checker{rules: rules, positions: positions, faults: faults}
	root := message.ProtoReflect()
	fields := root.Descriptor().Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		word := sectionWord(field)
		switch {
		case word == "":
		case field.IsList():
			c.list(root, field, word)
		default:
			c.section(root.Mutable(field).Message(), word, false)
		}
	}
}

type checker struct {
	rules     Rules
	positions *Positions
	faults    *Faults
}

func (c *checker) list(root protoreflect.Message, field protoreflect.FieldDescriptor, word string) {
	list := root.Get(field).List()
	for i := range list.Len() {
		message := list.Get(i).Message()
		name := message.Get(message.Descriptor().Fields().ByName(nameField)).String()
		c.section(message, SectionName(word, name), true)
	}
}

func (c *checker) section(message protoreflect.Message, header string, named bool) {
	fields := message.Descriptor().Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		if named && field.Name() == nameField {
			continue
		}
		c.field(message, field, header)
	}
}

func (c *checker) field(message protoreflect.Message, field protoreflect.FieldDescriptor, header string) {
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
	text := Text(field, message.Get(field))
	if rule.Check != nil && !rule.Check(text) {
		fault.Value = shown(rule, text)
		fault.Problem = "bad value"
		c.faults.Add(fault)
	}
}
