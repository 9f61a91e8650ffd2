package verdict

import (
	"strings"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
)

// ReasonName returns the short form of a reason for bodies, logs and metric labels, for example "no_place".
func ReasonName(r wirev1.Reason) string {
	return strings.ToLower(strings.TrimPrefix(r.String(), "REASON_"))
}
