package admin

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/go-faster/errors"
)

// AllTeams is the team of operators with access to the documents of all teams.
const AllTeams = "*"

// Operator has access to the document of one team or, with AllTeams, of all teams.
type Operator struct {
	Name string
	Team string
	// tokenHash is the SHA-256 of the operator's token.
	tokenHash [sha256.Size]byte
}

// canAccess reports whether the operator may read and change a team's document.
func (o Operator) canAccess(team string) bool { return o.Team == AllTeams || o.Team == team }

// ParseOperators parses the setting admin.operators, a comma-separated list of name:sha256-of-token:team.
func ParseOperators(setting string) ([]Operator, error) {
	var list []Operator
	for part := range strings.SplitSeq(setting, ",") {
		part = strings.TrimSpace(part)
		if part == "" {
			continue
		}
		fields := strings.Split(part, ":")
		if len(fields) != 3 {
			return nil, errors.Errorf("setting admin.operators: %q is not name:sha256:team", fields[0])
		}
		hash, err := hex.DecodeString(fields[1])
		if err != nil || len(hash) != sha256.Size {
			return nil, errors.Errorf("setting admin.operators: the hash of %q is not a SHA-256 in hexadecimal", fields[0])
		}
		operator := Operator{Name: fields[0], Team: fields[2]}
		copy(operator.tokenHash[:], hash)
		list = append(list, operator)
	}
	return list, nil
}

// authenticate returns the operator whose token the request carries. It compares all hashes in constant time, so that the
// response time reveals nothing about them.
func authenticate(operators []Operator, r *http.Request) (Operator, bool) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || token == "" {
		return Operator{}, false
	}
	hash := sha256.Sum256([]byte(token))
	var found Operator
	var matched bool
	for _, operator := range operators {
		if subtle.ConstantTimeCompare(hash[:], operator.tokenHash[:]) == 1 {
			found, matched = operator, true
		}
	}
	return found, matched
}
