// Package keys generates, hashes and looks up the API keys of client accounts. Keys appear in no error and no log; only
// their SHA-256 is stored. An unsalted hash is enough because keys are random, so a dictionary attack finds none.
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

	// randomBytes is the length of the random part of a key, 192 bits.
	randomBytes = 24

	stateGranted = "granted"
)

// State says whether a key may be used.
type State int

const (
	// Unknown means that no configuration document lists the key.
	Unknown State = iota
	// Granted means that the key may be used.
	Granted
	// Withdrawn means that the key was revoked, or that its state is not known to this version.
	Withdrawn
)

// String returns the name of the state for logs.
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

// Hash returns the hexadecimal SHA-256 of a key, the form that documents contain.
func Hash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Generate returns a new random key and its hash.
func Generate() (key, hash string) {
	random := make([]byte, randomBytes)
	// crypto/rand.Read never returns an error: it ends the process if the system provides no random bytes.
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

// NewTable returns the table of all keys of the documents, which must have their defaults filled in. If a hash is listed
// twice, the entry of the first document is used.
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

// add adds a key unless its hash is malformed or already in the table.
func (t *Table) add(key *configv1.Document_Key) {
	var e entry
	var digits [2 * sha256.Size]byte
	if copy(digits[:], key.GetSha256()) != len(digits) || len(key.GetSha256()) != len(digits) {
		return
	}
	if _, err := hex.Decode(e.hash[:], digits[:]); err != nil {
		return
	}
	if _, exists := t.entries[e.hash]; exists {
		return
	}
	e.account = key.GetAccount()
	e.state = Withdrawn
	if key.GetState() == stateGranted {
		e.state = Granted
	}
	t.entries[e.hash] = e
}

// Lookup returns the account and state of a key. The key is hashed first, so the time that a lookup takes reveals nothing
// about the stored hashes, and the final comparison takes constant time.
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
