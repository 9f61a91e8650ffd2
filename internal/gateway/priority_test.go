package gateway

import (
	"testing"

	"github.com/fulmardoor/fulmardoor/internal/fleet"
)

// Guards against urgent routes that wait with all others because every account has a priority (corralon-austral-grown trouble-2: 68 urgent requests were
// refused while less urgent ones of the same rank got engines), and against a route that overrides the priority of an account.
func TestPriority(t *testing.T) {
	account := func(priority int) *fleet.Account { return &fleet.Account{Priority: priority, HasPriority: true} }
	rank := func(a *fleet.Account, route int) int {
		return (&request{account: a, route: &fleet.Route{Priority: route}}).priority()
	}
	for _, c := range []struct {
		name                 string
		first, second        *fleet.Account
		firstRoute, sndRoute int
	}{
		{"urgent route of the same account", account(1), account(1), 0, 2},
		{"urgent account, whatever the routes", account(0), account(1), 9, 0},
		{"accounts without a priority", &fleet.Account{}, &fleet.Account{}, 0, 2},
		{"no account", nil, nil, 1, 2},
		{"route without a priority of the account between others", &fleet.Account{}, account(1), 0, 0},
		{"priorities beyond the range", account(3), account(4), 1 << 40, -5},
	} {
		if a, b := rank(c.first, c.firstRoute), rank(c.second, c.sndRoute); a >= b || a <= resumePriority {
			t.Errorf("%s: ranks %d and %d, want the first to be more urgent, and both after interrupted streams", c.name, a, b)
		}
	}
}
