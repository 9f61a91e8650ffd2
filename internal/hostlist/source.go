// Package hostlist defines the platform's list of live and leaving hosts. The list lags behind the actual hosts.
package hostlist

import (
	"context"

	"github.com/go-faster/errors"
)

// ErrIncomplete marks the error of a list of which some rows could not be read.
var ErrIncomplete = errors.New("host list is incomplete")

// State is the state of a host in the list.
type State string

const (
	// Live hosts accept work.
	Live State = "live"
	// Leaving hosts will be removed by the platform.
	Leaving State = "leaving"
)

// Host is one row of the list.
type Host struct {
	// Address is IP:port of the process on the host.
	Address    string
	Name       string
	DataCentre string
	// Role is "entry" or "sidecar".
	Role  string
	State State
}

// Source reads the whole list. With an error that is ErrIncomplete, it returns the hosts that it could read; the others may still be listed.
type Source interface {
	Hosts(ctx context.Context) ([]Host, error)
}
