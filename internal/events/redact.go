package events

import (
	"regexp"
	"strings"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
)

// Redacted stands in an event for a text that may be a caller's key.
const Redacted = "[redacted]"

// MaxTextBytes is the longest text kept in an event; the ring's memory is bounded by it.
const MaxTextBytes = 1024

const (
	// minMixedKey is the least length of a text of upper case, lower case and digits that counts as a key; base64 of
	// 128 bits has 22 characters.
	minMixedKey = 20
	// minPlainKey is the least length of a text of letters and digits without separators that counts as a key. A call
	// ID, a UUID and a host name have no such part; base32 of 128 bits has 26 characters, hexadecimal 32.
	minPlainKey = 24
	// separators may be part of a key of mixed characters.
	separators = "_~+/=-"
)

var (
	// credentials matches the value of an Authorization header and keys with the prefix of this or of other systems.
	credentials = regexp.MustCompile(`(?i)\b(bearer|basic)\s+[^\s"',;]+|\bsk-[A-Za-z0-9_-]{8,}|fd_[A-Za-z0-9_-]{8,}`)
	// wordRuns matches the texts that may be keys as a whole.
	wordRuns = regexp.MustCompile(`[A-Za-z0-9_~+/=-]+`)
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
			value = cleanText(field.GetValue())
		}
		clean = append(clean, &wirev1.Header{Name: cleanText(field.GetName()), Value: value})
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

// Redact returns a text for a log line: without keys, of valid UTF-8 and at most MaxTextBytes long.
func Redact(text string) string { return cleanText(text) }

// cleanText returns a text without keys, of valid UTF-8, which protobuf strings need, and at most MaxTextBytes long. It
// is cut last, so that no cut key passes as harmless.
func cleanText(text string) string {
	text = redactText(strings.ToValidUTF8(text, "\uFFFD"))
	if len(text) > MaxTextBytes {
		text = strings.ToValidUTF8(text[:MaxTextBytes], "")
	}
	return text
}

// redactText replaces the parts of a text that may be a key. It is the last guard; callers of Record pass no keys.
// The regular expressions cost several microseconds each, so they run only on a text that has something to replace.
func redactText(text string) string {
	if mayHoldCredentials(text) {
		text = credentials.ReplaceAllString(text, Redacted)
	}
	if !holdsKey(text) {
		return text
	}
	return wordRuns.ReplaceAllStringFunc(text, func(word string) string {
		if holdsKey(word) {
			return Redacted
		}
		return word
	})
}

func mayHoldCredentials(text string) bool {
	lower := strings.ToLower(text)
	return strings.Contains(lower, "sk-") || strings.Contains(lower, "fd_") || strings.Contains(lower, "bearer") || strings.Contains(lower, "basic")
}

// run counts the characters of a text without gaps.
type run struct {
	length               int
	upper, lower, digits bool
}

func (r *run) add(c byte) {
	r.length++
	r.upper = r.upper || 'A' <= c && c <= 'Z'
	r.lower = r.lower || 'a' <= c && c <= 'z'
	r.digits = r.digits || '0' <= c && c <= '9'
}

// holdsKey tells whether a text has a part that counts as a key by its length and characters.
func holdsKey(text string) bool {
	var word, plain run
	for i := range len(text) {
		c := text[i]
		switch {
		case isAlphanumeric(c):
			word.add(c)
			plain.add(c)
		case strings.IndexByte(separators, c) >= 0:
			word.add(c)
			plain = run{}
		default:
			word, plain = run{}, run{}
		}
		if word.length >= minMixedKey && word.upper && word.lower && word.digits ||
			plain.length >= minPlainKey && (plain.upper || plain.lower) && plain.digits {
			return true
		}
	}
	return false
}

func isAlphanumeric(c byte) bool {
	return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9'
}
