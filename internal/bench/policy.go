package bench

// Choice is how a policy chooses upstreams.
type Choice int

const (
	// ChooseScheduler is the product's choice.
	ChooseScheduler Choice = iota
	// ChooseRoundRobin takes upstreams in turn.
	ChooseRoundRobin
	// ChooseLeastLoad takes the least reported load.
	ChooseLeastLoad
)

// Reserve is when a policy reserves its decode place.
type Reserve int

const (
	// ReservePromise reserves before the prefill, for the time when the prefill is ready.
	ReservePromise Reserve = iota
	// ReserveAtArrival takes a real place before the prefill.
	ReserveAtArrival
	// ReserveAfterPrefill asks several decode engines when the prefill is ready.
	ReserveAfterPrefill
	// ReserveNever sends the finished prefill to one decode engine and waits there.
	ReserveNever
)

// Policy is a way to route.
type Policy struct {
	Name    string
	Choice  Choice
	Reserve Reserve
	// Fair orders waiting requests by account.
	Fair bool
	// RefuseEarly refuses requests that would miss their target.
	RefuseEarly bool
}

// Chosen is the product's policy.
var Chosen = Policy{Name: "chosen", Fair: true, RefuseEarly: true}

// Naive policies, for comparison. The last two differ from the chosen one only in when they reserve.
var Naive = []Policy{
	{Name: "round robin", Choice: ChooseRoundRobin, Reserve: ReserveNever},
	{Name: "least load", Choice: ChooseLeastLoad, Reserve: ReserveNever},
	{Name: "at arrival", Reserve: ReserveAtArrival, Fair: true, RefuseEarly: true},
	{Name: "after prefill", Reserve: ReserveAfterPrefill, Fair: true, RefuseEarly: true},
}
