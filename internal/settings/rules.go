package settings

import (
	"fmt"
	"math"
	"net"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/known/durationpb"
)

// Rule describes the allowed values of a field.
type Rule struct {
	Required bool
	// Default is the value of an absent key as it would be written in a file; empty for no default.
	Default string
	// Secret hides the value in faults.
	Secret bool
	// Allowed describes the values that Check accepts.
	Allowed string
	// Check reports whether a value in the form that FormatValue returns is accepted; nil accepts all.
	Check func(text string) bool
}

// Rules maps the full names of fields to their rules. Fields without a rule are optional and unrestricted.
type Rules map[protoreflect.FullName]Rule

// OneOf accepts the listed values.
func OneOf(values ...string) Rule {
	return Rule{
		Allowed: strings.Join(values, ", "),
		Check:   func(text string) bool { return slices.Contains(values, text) },
	}
}

// Between accepts numbers from low to high.
func Between(low, high float64) Rule {
	return Rule{
		Allowed: "a number from " + formatNumber(low) + " to " + formatNumber(high),
		Check: func(text string) bool {
			n, err := strconv.ParseFloat(text, 64)
			return err == nil && n >= low && n <= high
		},
	}
}

// DurationBetween accepts durations from low to high.
func DurationBetween(low, high time.Duration) Rule {
	return Rule{
		Allowed: fmt.Sprintf("a duration from %v to %v", low, high),
		Check: func(text string) bool {
			d, err := time.ParseDuration(text)
			return err == nil && d >= low && d <= high
		},
	}
}

// ListenAddress accepts a port with an optional IP address.
func ListenAddress() Rule {
	return Rule{Allowed: `an address to listen on such as "127.0.0.1:8080" or ":8080"`, Check: isListenAddress}
}

// Address accepts an IP address and port to connect to.
func Address() Rule {
	return Rule{Allowed: `an IP address with a port such as "10.0.0.7:7000"`, Check: isAddress}
}

// URL accepts an absolute http or https URL.
func URL() Rule {
	return Rule{Allowed: "an http or https URL with a host", Check: isURL}
}

// Name accepts the names of processes, hosts, accounts and other items that operators declare.
func Name() Rule {
	return Rule{Allowed: "1 to 128 letters, digits or any of . _ : / @ -", Check: IsName}
}

// AsRequired returns the rule for a required field.
func (r Rule) AsRequired() Rule {
	r.Required = true
	return r
}

// WithDefault returns the rule with a default value.
func (r Rule) WithDefault(value string) Rule {
	r.Default = value
	return r
}

// IsName reports whether text is a valid name, see Name.
func IsName(text string) bool {
	const maxNameBytes = 128
	if text == "" || len(text) > maxNameBytes {
		return false
	}
	for _, r := range text {
		alphanumeric := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
		if !alphanumeric && !strings.ContainsRune("._:/@-", r) {
			return false
		}
	}
	return true
}

func isListenAddress(text string) bool {
	host, port, err := net.SplitHostPort(text)
	if err != nil {
		return false
	}
	if _, err := strconv.ParseUint(port, 10, 16); err != nil {
		return false
	}
	if host == "" {
		return true
	}
	_, err = netip.ParseAddr(host)
	return err == nil
}

func isAddress(text string) bool {
	address, err := netip.ParseAddrPort(text)
	return err == nil && address.Port() != 0 && !address.Addr().IsUnspecified()
}

func isURL(text string) bool {
	u, err := url.Parse(text)
	return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
}

func formatNumber(n float64) string { return strconv.FormatFloat(n, 'f', -1, 64) }

// FormatValue returns the canonical text of a field's value, for example "10m0s" for a duration written as "10m" or "600s".
func FormatValue(field protoreflect.FieldDescriptor, value protoreflect.Value) string {
	if field.Kind() != protoreflect.MessageKind {
		if field.Kind() == protoreflect.DoubleKind {
			return strconv.FormatFloat(value.Float(), 'g', -1, 64)
		}
		return value.String()
	}
	if d, ok := value.Message().Interface().(*durationpb.Duration); ok {
		return d.AsDuration().String()
	}
	return ""
}

// parseValue converts text to the type of field. If it fails, allowed describes the accepted values; otherwise it is empty.
func parseValue(field protoreflect.FieldDescriptor, text string) (value protoreflect.Value, allowed string) {
	switch field.Kind() {
	case protoreflect.StringKind:
		if !validString(text) {
			return value, "printable UTF-8 text"
		}
		return protoreflect.ValueOfString(text), ""
	case protoreflect.BoolKind:
		switch text {
		case "true":
			return protoreflect.ValueOfBool(true), ""
		case "false":
			return protoreflect.ValueOfBool(false), ""
		}
		return value, "true or false"
	case protoreflect.Int32Kind:
		n, err := strconv.ParseInt(text, 10, 32)
		return protoreflect.ValueOfInt32(int32(n)), allowedOnError(err, "a whole number from -2147483648 to 2147483647")
	case protoreflect.Int64Kind:
		n, err := strconv.ParseInt(text, 10, 64)
		return protoreflect.ValueOfInt64(n), allowedOnError(err, "a whole number")
	case protoreflect.Uint32Kind:
		n, err := strconv.ParseUint(text, 10, 32)
		return protoreflect.ValueOfUint32(uint32(n)), allowedOnError(err, "a whole number from 0 to 4294967295")
	case protoreflect.Uint64Kind:
		n, err := strconv.ParseUint(text, 10, 64)
		return protoreflect.ValueOfUint64(n), allowedOnError(err, "a whole number from 0")
	case protoreflect.DoubleKind:
		n, err := strconv.ParseFloat(text, 64)
		if err != nil || math.IsNaN(n) || math.IsInf(n, 0) {
			return value, "a number"
		}
		return protoreflect.ValueOfFloat64(n), ""
	case protoreflect.MessageKind:
		d, err := time.ParseDuration(text)
		return protoreflect.ValueOfMessage(durationpb.New(d).ProtoReflect()),
			allowedOnError(err, `a duration such as "1800ms", "3s" or "10m"`)
	}
	return value, "no value; the type of this key is not supported"
}

func validString(text string) bool {
	return !strings.ContainsFunc(text, func(r rune) bool { return r == '\uFFFD' || r < ' ' && r != '\t' })
}

func allowedOnError(err error, allowed string) string {
	if err == nil {
		return ""
	}
	return allowed
}

// Normalize returns text in the form that FormatValue returns for the field, or text itself if it cannot be parsed.
func Normalize(field protoreflect.FieldDescriptor, text string) string {
	value, allowed := parseValue(field, text)
	if allowed != "" {
		return text
	}
	return FormatValue(field, value)
}
