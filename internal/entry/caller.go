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

// caller is the sender of one request. The key stays in this process.
type caller struct {
	key  string
	open bool
	// account is empty for callers of open routes without a key.
	account string
}

// identify finds the account of a request's key.
func identify(snapshot *confsync.Snapshot, r *http.Request, open bool) (caller, error) {
	header := r.Header.Get("Authorization")
	if header == "" && open {
		return caller{open: true}, nil
	}
	if header == "" {
		return caller{}, verdict.Refuse(wirev1.Reason_REASON_KEY_MISSING, "the request has no key: send it as bearer token in the Authorization header")
	}
	key, ok := strings.CutPrefix(header, bearerPrefix)
	if !ok {
		return caller{}, verdict.Refuse(wirev1.Reason_REASON_KEY_MISSING, "the Authorization header must be Bearer KEY")
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

// recheck verifies that the configuration is fresh and the key still stands for the same account.
func (e *Entry) recheck(c caller) error {
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
		return verdict.Refuse(wirev1.Reason_REASON_KEY_UNKNOWN, "the key now stands for another account")
	}
	return nil
}

// watchKey cancels a running request when its key is withdrawn. Loss of contact to the configuration does not cut a
// request that has begun.
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
