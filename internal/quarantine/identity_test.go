package quarantine

import "testing"

// Guards against different requests with one identity, and against a prompt part that passes for an identity.
func TestIdentityTellsRequestsApart(t *testing.T) {
	seen := make(map[string]int)
	for i, id := range []string{
		Identity("s", "a", "GET", "/t", nil), Identity("s", "b", "GET", "/t", nil), Identity("r", "a", "GET", "/t", nil),
		Identity("s", "a", "PUT", "/t", nil), Identity("s", "a", "GET", "/t?x", nil), Identity("s", "a", "GET", "/t", []byte("x")),
		Identity("sa", "", "GET", "/t", nil), Identity("s", "aG", "ET", "/t", nil),
	} {
		if other, ok := seen[id]; ok || !isIdentity(id) {
			t.Errorf("%d: %s, also of %d", i, id, other)
		}
		seen[id] = i
	}
	if again := Identity("s", "a", "GET", "/t", []byte("x")); seen[again] != 5 {
		t.Error("the same request has two identities")
	}
	if isIdentity("request:svc/part") {
		t.Error("a prompt part passes for an identity")
	}
}
