package engine

import "context"

type accountKey struct{}

// WithAccount returns a context that carries the client account of a request. Engines whose API has a user name get the
// account as the user name; the API key of the account is never sent to an engine.
func WithAccount(ctx context.Context, account string) context.Context {
	return context.WithValue(ctx, accountKey{}, account)
}

// AccountFrom returns the client account set by WithAccount, or an empty string.
func AccountFrom(ctx context.Context) string {
	account, _ := ctx.Value(accountKey{}).(string)
	return account
}
