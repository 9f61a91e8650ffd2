package admin

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/go-faster/errors"
)

// AllTeams is the team of operators who may see and change every document.
const AllTeams = "*"

// Operator may see and change the document of one team, or of all.
type Operator struct {
	Name string
	Team string
	hash [sha256.Size]byte
}

// may reports whether the operator has rights over a team's document.
func (o Operator) may(team string) bool { return o.Team == AllTeams || o.Team == team }

// ParseOperators reads the setting admin.operators: name:sha256-of-token:team, comma separated.
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
		copy(operator.hash[:], hash)
		list = append(list, operator)
	}
	return list, nil
}

// authenticate finds the operator of a request. Every hash is compared in constant time.
func authenticate(operators []Operator, r *http.Request) (Operator, bool) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || token == "" {
		return Operator{}, false
	}
	hash := sha256.Sum256([]byte(token))
	var found Operator
	var matched bool
	for _, operator := range operators {
		if subtle.ConstantTimeCompare(hash[:], operator.hash[:]) == 1 {
			found, matched = operator, true
		}
	}
	return found, matched
}
