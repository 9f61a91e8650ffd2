package events

import (
	"regexp"
	"strings"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
)

// Redacted replaces text that may be a caller's key.
const Redacted = "[redacted]"

// MaxTextBytes is the maximum length of a string of an event. It bounds the memory of the ring buffer.
const MaxTextBytes = 1024

const (
	// minMixedKeyLength is the minimum length of a sequence with upper case, lower case and digits, and possibly
	// separators, that is treated as a key. 128 bits in base64 have 22 characters.
	minMixedKeyLength = 20
	// minPlainKeyLength is the minimum length of a sequence of letters and digits, without separators, that is treated as
	// a key. 128 bits have 26 characters in base32 and 32 in hexadecimal. Call IDs, UUIDs and host names contain no
	// sequence of this length.
	minPlainKeyLength = 24
	// separators are the characters besides letters and digits that a mixed key may contain.
	separators = "_~+/=-"
)

var (
	// credentialPattern matches values of Authorization headers and keys with the prefix of this system or of others.
	credentialPattern = regexp.MustCompile(`(?i)\b(bearer|basic)\s+[^\s"',;]+|\bsk-[A-Za-z0-9_-]{8,}|fd_[A-Za-z0-9_-]{8,}`)
	// keyCandidatePattern matches the longest sequences of characters that a key may contain.
	keyCandidatePattern = regexp.MustCompile(`[A-Za-z0-9_~+/=-]+`)
)

// The value of a field is never recorded if its name is in secretNames or contains one of secretSubstrings. Names are compared
// in lower case with "_" replaced by "-".
var (
	secretNames      = map[string]bool{"key": true, "client-key": true, "account-key": true, "token": true}
	secretSubstrings = []string{"authorization", "api-key", "apikey", "access-token", "cookie", "secret", "password"}
)

// redactFields returns a copy of fields without nil elements and without keys.
func redactFields(fields []*wirev1.Header) []*wirev1.Header {
	var clean []*wirev1.Header
	for _, field := range fields {
		if field == nil {
			continue
		}
		value := Redacted
		if !isSecretName(field.GetName()) {
			value = sanitize(field.GetValue())
		}
		clean = append(clean, &wirev1.Header{Name: sanitize(field.GetName()), Value: value})
	}
	return clean
}

func isSecretName(name string) bool {
	name = strings.ReplaceAll(strings.ToLower(name), "_", "-")
	if secretNames[name] {
		return true
	}
	for _, part := range secretSubstrings {
		if strings.Contains(name, part) {
			return true
		}
	}
	return false
}

// Redact prepares a text for a log line: it replaces keys and invalid UTF-8 and truncates the text to MaxTextBytes.
func Redact(text string) string { return sanitize(text) }

// sanitize replaces keys and invalid UTF-8, which protobuf strings must not contain, and truncates the text to
// MaxTextBytes. It truncates last, because a truncated key might not be recognized as a key.
func sanitize(text string) string {
	text = redactText(strings.ToValidUTF8(text, "\uFFFD"))
	if len(text) > MaxTextBytes {
		text = strings.ToValidUTF8(text[:MaxTextBytes], "")
	}
	return text
}

// redactText replaces the parts of a text that may be a key. It is a second line of defence: callers of Record must not
// pass keys. The regular expressions take several microseconds each, so they run only if there is something to replace.
func redactText(text string) string {
	if mayContainCredentials(text) {
		text = credentialPattern.ReplaceAllString(text, Redacted)
	}
	if !containsKey(text) {
		return text
	}
	return keyCandidatePattern.ReplaceAllStringFunc(text, func(candidate string) string {
		if containsKey(candidate) {
			return Redacted
		}
		return candidate
	})
}

// mayContainCredentials is a cheap check for the fixed parts of credentialPattern.
func mayContainCredentials(text string) bool {
	lower := strings.ToLower(text)
	return strings.Contains(lower, "sk-") || strings.Contains(lower, "fd_") || strings.Contains(lower, "bearer") || strings.Contains(lower, "basic")
}

// sequence describes a sequence of characters by its length and the classes of characters in it.
type sequence struct {
	length               int
	upper, lower, digits bool
}

func (s *sequence) add(c byte) {
	s.length++
	s.upper = s.upper || 'A' <= c && c <= 'Z'
	s.lower = s.lower || 'a' <= c && c <= 'z'
	s.digits = s.digits || '0' <= c && c <= '9'
}

// containsKey reports whether a text contains a sequence that is treated as a key because of its length and characters.
func containsKey(text string) bool {
	var mixed, plain sequence
	for i := range len(text) {
		c := text[i]
		switch {
		case isAlphanumeric(c):
			mixed.add(c)
			plain.add(c)
		case strings.IndexByte(separators, c) >= 0:
			mixed.add(c)
			plain = sequence{}
		default:
			mixed, plain = sequence{}, sequence{}
		}
		if mixed.length >= minMixedKeyLength && mixed.upper && mixed.lower && mixed.digits ||
			plain.length >= minPlainKeyLength && (plain.upper || plain.lower) && plain.digits {
			return true
		}
	}
	return false
}

func isAlphanumeric(c byte) bool {
	return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9'
}
