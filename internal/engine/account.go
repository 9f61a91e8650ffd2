package engine

import "context"

type accountKey struct{}

// WithAccount returns a context that names the client account of a request. Engines that take a user name get it; the
// account's key is never passed on.
func WithAccount(ctx context.Context, account string) context.Context {
	return context.WithValue(ctx, accountKey{}, account)
}

// AccountFrom returns the client account of a request, or an empty string.
func AccountFrom(ctx context.Context) string {
	account, _ := ctx.Value(accountKey{}).(string)
	return account
}
