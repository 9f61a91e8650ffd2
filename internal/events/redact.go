package events

import (
	"regexp"
	"strings"
	"unicode"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
)

// Redacted stands in an event for a text that may be a caller's key.
const Redacted = "[redacted]"

const (
	// minMixedKey is the least length of a text of upper case, lower case and digits that counts as a key; base64 of
	// 128 bits has 22 characters.
	minMixedKey = 20
	// minPlainKey is the least length of a text of letters and digits without separators that counts as a key. A call
	// ID, a UUID and a host name have no such part; base32 of 128 bits has 26 characters, hexadecimal 32.
	minPlainKey = 24
)

var (
	// credentials matches the value of an Authorization header and keys with the usual prefix.
	credentials = regexp.MustCompile(`(?i)\b(bearer|basic)\s+[^\s"',;]+|\bsk-[A-Za-z0-9_-]{8,}`)
	// wordRuns matches the texts that mixed-case keys are made of, plainRuns those without separators.
	wordRuns  = regexp.MustCompile(`[A-Za-z0-9_~+/=-]+`)
	plainRuns = regexp.MustCompile(`[A-Za-z0-9]+`)
)

// secretNames are fields whose value is never recorded; secretParts are parts of such names. Names are compared in lower
// case with "-" in place of "_".
var (
	secretNames = map[string]bool{"key": true, "client-key": true, "account-key": true, "token": true}
	secretParts = []string{"authorization", "api-key", "apikey", "access-token", "cookie", "secret", "password"}
)

// redactFields copies fields without nil entries and without keys.
func redactFields(fields []*wirev1.Header) []*wirev1.Header {
	var clean []*wirev1.Header
	for _, field := range fields {
		if field == nil {
			continue
		}
		value := Redacted
		if !isSecretName(field.GetName()) {
			value = redactText(field.GetValue())
		}
		clean = append(clean, &wirev1.Header{Name: redactText(field.GetName()), Value: value})
	}
	return clean
}

func isSecretName(name string) bool {
	name = strings.ReplaceAll(strings.ToLower(name), "_", "-")
	if secretNames[name] {
		return true
	}
	for _, part := range secretParts {
		if strings.Contains(name, part) {
			return true
		}
	}
	return false
}

// redactText replaces the parts of a text that may be a key. It is the last guard; callers of Record pass no keys.
func redactText(text string) string {
	text = credentials.ReplaceAllString(text, Redacted)
	text = wordRuns.ReplaceAllStringFunc(text, func(run string) string {
		if len(run) >= minMixedKey && has(run, unicode.IsUpper) && has(run, unicode.IsLower) && has(run, unicode.IsDigit) {
			return Redacted
		}
		return run
	})
	return plainRuns.ReplaceAllStringFunc(text, func(run string) string {
		if len(run) >= minPlainKey && has(run, unicode.IsLetter) && has(run, unicode.IsDigit) {
			return Redacted
		}
		return run
	})
}

func has(text string, class func(rune) bool) bool {
	return strings.ContainsFunc(text, class)
}
