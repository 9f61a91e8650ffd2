// Package keys generates, hashes and looks up the keys of client accounts. Keys appear in no error and no log; only
// their SHA-256 is stored. A plain hash is enough because keys are random: there is no dictionary to try.
package keys

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/hex"

	configv1 "github.com/fulmardoor/fulmardoor/api/config/v1"
)

const (
	// Prefix starts every generated key, so that keys can be recognised and removed from logs.
	Prefix = "fd_"

	// randomBytes gives 192 random bits.
	randomBytes = 24

	stateGranted = "granted"
)

// State says whether a key may be used.
type State int

const (
	// Unknown means that no document lists the key.
	Unknown State = iota
	// Granted means that the key may be used.
	Granted
	// Withdrawn means that the key was granted once and may not be used any more.
	Withdrawn
)

// String returns the form used in logs.
func (s State) String() string {
	switch s {
	case Granted:
		return "granted"
	case Withdrawn:
		return "withdrawn"
	default:
		return "unknown"
	}
}

// Hash returns the hexadecimal SHA-256 of a key, as it stands in documents.
func Hash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Generate returns a new random key and its hash.
func Generate() (key, hash string) {
	random := make([]byte, randomBytes)
	// crypto/rand.Read never fails: it ends the process when the system gives no randomness.
	_, _ = rand.Read(random)
	key = Prefix + base64.RawURLEncoding.EncodeToString(random)
	return key, Hash(key)
}

// Table finds keys by their hash. It is immutable and safe for concurrent use.
type Table struct {
	entries map[[sha256.Size]byte]entry
}

type entry struct {
	hash    [sha256.Size]byte
	account string
	state   State
}

// NewTable returns the table of all keys of the documents, which have their defaults filled in. If a hash is listed twice, the first document wins.
func NewTable(documents []*configv1.Document) *Table {
	size := 0
	for _, document := range documents {
		size += len(document.GetKeys())
	}
	t := &Table{entries: make(map[[sha256.Size]byte]entry, size)}
	for _, document := range documents {
		for _, key := range document.GetKeys() {
			t.add(key)
		}
	}
	return t
}

func (t *Table) add(key *configv1.Document_Key) {
	var e entry
	var digits [2 * sha256.Size]byte
	if copy(digits[:], key.GetSha256()) != len(digits) || len(key.GetSha256()) != len(digits) {
		return
	}
	if _, err := hex.Decode(e.hash[:], digits[:]); err != nil {
		return
	}
	if _, taken := t.entries[e.hash]; taken {
		return
	}
	e.account = key.GetAccount()
	e.state = Withdrawn
	if key.GetState() == stateGranted {
		e.state = Granted
	}
	t.entries[e.hash] = e
}

// Lookup returns the account and state of a key. The key is hashed first, so a caller learns nothing about stored
// hashes from the time that a lookup takes, and the final comparison is in constant time.
func (t *Table) Lookup(key string) (account string, state State) {
	if t == nil {
		return "", Unknown
	}
	sum := sha256.Sum256([]byte(key))
	e := t.entries[sum]
	if subtle.ConstantTimeCompare(sum[:], e.hash[:]) != 1 {
		return "", Unknown
	}
	return e.account, e.state
}

// Len returns the number of keys.
func (t *Table) Len() int {
	if t == nil {
		return 0
	}
	return len(t.entries)
}
