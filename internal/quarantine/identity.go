package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strings"
)

const (
	// requestPrefix begins the identity of a request. A part of a prompt has a slash after the name of its service, and an identity
	// has none.
	requestPrefix = "request:"
	// identityBytes is the length of the hash in an identity. It makes it infeasible to find a request with the identity of another
	// caller's.
	identityBytes = 8
)

// Identity returns the identity of a request. scope keeps requests with the same target apart that are not the same, such as those for
// different hosts. The same request of the same account has the same identity at all
// processes. It is a hash, so that neither the target nor the body is visible in logs and messages.
func Identity(scope, account, method, target string, body []byte) string {
	hash := sha256.New()
	for _, field := range []string{scope, account, method, target} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(field))) // without the lengths, fields could be shifted
		_, _ = hash.Write(length[:])
		_, _ = hash.Write([]byte(field))
	}
	_, _ = hash.Write(body)
	return requestPrefix + hex.EncodeToString(hash.Sum(nil)[:identityBytes])
}

// isIdentity reports whether a part is the identity of a request.
func isIdentity(part string) bool {
	return strings.HasPrefix(part, requestPrefix) && !strings.Contains(part, "/")
}
