package entry

import (
	"context"
	"net/http"
	"strings"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/confsync"
	"github.com/fulmardoor/fulmardoor/internal/keys"
	"github.com/fulmardoor/fulmardoor/internal/verdict"
	"github.com/fulmardoor/fulmardoor/internal/wait"
)

const bearerPrefix = "Bearer "

// caller is the sender of one request. Its key is not sent to other processes.
type caller struct {
	key  string
	open bool
	// account is empty for a caller without a key, which only open routes and models permit.
	account string
}

// identify returns the account of the key in a request. Without a key it fails, unless open is set.
func identify(snapshot *confsync.Snapshot, r *http.Request, open bool) (caller, error) {
	header := r.Header.Get("Authorization")
	if header == "" && open {
		return caller{open: true}, nil
	}
	if header == "" {
		return caller{}, verdict.Refuse(wirev1.Reason_REASON_KEY_MISSING, "the request has no key: send it as a bearer token in the Authorization header")
	}
	key, ok := strings.CutPrefix(header, bearerPrefix)
	if !ok {
		return caller{}, verdict.Refuse(wirev1.Reason_REASON_KEY_MISSING, "the Authorization header must have the form Bearer KEY")
	}
	c := caller{key: key, open: open}
	account, err := c.lookup(snapshot)
	if err != nil {
		return caller{}, err
	}
	c.account = account
	return c, nil
}

func (c caller) lookup(snapshot *confsync.Snapshot) (string, error) {
	account, state := snapshot.Key(c.key)
	switch state {
	case keys.Granted:
		return account, nil
	case keys.Withdrawn:
		return "", verdict.Refuse(wirev1.Reason_REASON_KEY_WITHDRAWN, "the key was withdrawn")
	default:
		return "", verdict.Refuse(wirev1.Reason_REASON_KEY_UNKNOWN, "the key is not known")
	}
}

// reauthorize checks that the configuration is fresh and that the key still belongs to the same account.
func (e *Entry) reauthorize(c caller) error {
	if err := e.conf.Admit(); err != nil {
		return err
	}
	if c.account == "" {
		return nil
	}
	account, err := c.lookup(e.conf.Current())
	if err != nil {
		return err
	}
	if account != c.account {
		return verdict.Refuse(wirev1.Reason_REASON_KEY_UNKNOWN, "the key now belongs to another account")
	}
	return nil
}

// watchKey cancels a running request when its key is withdrawn. A request that has started goes on if the configuration
// gets out of date.
func (e *Entry) watchKey(ctx context.Context, c caller, cancel context.CancelCauseFunc) {
	for c.account != "" && wait.For(ctx, keyCheckInterval) {
		if _, err := c.lookup(e.conf.Current()); err != nil {
			refusal := *verdict.As(err)
			refusal.Verdict = verdict.MayHaveRun
			cancel(&refusal)
			return
		}
	}
}
