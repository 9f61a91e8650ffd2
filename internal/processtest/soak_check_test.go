package processtest

import (
	"net/http"
	"slices"
	"time"
)

const (
	// soakAttempts is the number of attempts that the configuration allows a repeatable request.
	soakAttempts = 2
	// hotWindow and hotLimit are the users' bound for the account "hot": (2,000 tokens a second in 8 s and a burst of
	// 2,000) with a tenth and 8,000 more.
	hotWindow = 8 * time.Second
	hotLimit  = (2000*8+2000)*11/10 + soakRateSlack
	// plainTokens is what a plain request counts.
	plainTokens = 200
)

// soakRun is one run of a request at a runner.
type soakRun struct {
	runner string
	at     time.Time
}

// runs returns the runs of each request.
func (f *soakFleet) runs() map[string][]soakRun {
	runs := make(map[string][]soakRun)
	for _, runner := range f.all() {
		for _, seen := range runner.Requests() {
			if seen.Ran {
				id := seen.Header.Get("Fulmardoor-Request-Id")
				runs[id] = append(runs[id], soakRun{runner.ID, seen.At})
			}
		}
	}
	return runs
}

// awaitRecovery waits until every router serves every kind of request.
func (f *soakFleet) awaitRecovery() {
	f.t.Helper()
	healed := time.Now()
	probe := &soakLoad{f: f}
	probe.next.Store(1 << 32)
	transport := &http.Transport{DisableKeepAlives: true}
	for _, router := range f.routers {
		for _, kind := range soakKinds {
			for {
				result := probe.send(transport, router, "usual", kind)
				if result.status == http.StatusOK && result.err == nil {
					break
				}
				if time.Since(healed) > soakRecovery {
					f.t.Errorf("%s does not serve %s %v after the last fault: status %d, %v %q", router.name, kind, soakRecovery,
						result.status, result.err, result.body)
					break
				}
				time.Sleep(100 * time.Millisecond)
			}
		}
	}
	f.note("recovered after %v", time.Since(healed).Round(time.Millisecond))
}

// check compares what callers got with what runners ran.
func (f *soakFleet) check(results []soakResult) {
	runs := f.runs()
	counts := make(map[int]int)
	var hot []time.Time
	for i := range results {
		result := &results[i]
		counts[result.status]++
		f.checkOne(result, runs[result.id])
		if result.account == "hot" {
			for _, run := range runs[result.id] {
				hot = append(hot, run.at)
			}
		}
	}
	f.checkRate(hot)
	f.t.Logf("%d requests, by status %v", len(results), counts)
	if counts[http.StatusOK] < len(results)/4 {
		f.t.Errorf("only %d of %d requests were served", counts[http.StatusOK], len(results))
	}
}

func (f *soakFleet) checkOne(result *soakResult, runs []soakRun) {
	bad := func(what string) {
		f.t.Errorf("%s: request %s (%s, %s at %s): status %d %q, %v; runs %v", what, result.id, result.kind, result.account, result.router,
			result.status, result.body, result.err, runs)
	}
	allowed := 1
	if result.kind == "look" || result.kind == "reply" {
		allowed = soakAttempts
	}
	if len(runs) > allowed {
		bad("ran too often")
	}
	switch result.status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		if len(runs) > 0 {
			bad("said not to have run, but ran")
		}
		if result.status != http.StatusRequestTimeout && result.retryAfter == "" {
			bad("a refusal without a time to come back")
		}
	case http.StatusOK:
		if result.err != nil {
			return // the caller sees that the answer is cut
		}
		if result.body != result.wanted() {
			bad("an answer that looks whole and is not")
		}
		if !slices.ContainsFunc(runs, func(run soakRun) bool { return result.stamp == "stamp-"+run.runner }) {
			bad("an answer without the signature of a runner that ran it: " + result.stamp)
		}
	case http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound, http.StatusBadRequest:
		bad("a proper request refused for good")
	}
}

// checkRate compares each window with the account's limit.
func (f *soakFleet) checkRate(runs []time.Time) {
	slices.SortFunc(runs, time.Time.Compare)
	from := 0
	for to := range runs {
		for runs[to].Sub(runs[from]) > hotWindow {
			from++
		}
		if tokens := (to - from + 1) * plainTokens; tokens > hotLimit {
			f.t.Errorf("account hot ran %d tokens within %v, the limit is %d", tokens, hotWindow, hotLimit)
			return
		}
	}
}
