package systemtest

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
)

// Guards against requests that find no upstream and empty the retry budget of the process with attempts that end at once, and
// against a refusal that leaves them uncounted.
func TestNoUpstreamTakesNoRetries(t *testing.T) {
	inSmallWorld(t, func(t *testing.T, w *world) {
		text := strings.ReplaceAll(w.document(nil), "role = decode\n", "role = decode\nstate = leaving\n")
		w.apply(strings.ReplaceAll(text, "role = service\n", "role = service\nstate = leaving\n"))
		for _, a := range []answer{
			w.complete(context.Background(), "entry-0", testKey, prompt(100), 5),
			w.look(context.Background(), "entry-0"),
			w.book(context.Background(), "entry-0", "b1", nil),
		} {
			if a.code != "no_upstream" || a.verdict != "not run" || a.status != 503 {
				t.Errorf("%d %s %s", a.status, a.code, a.verdict)
			}
		}
		rec := httptest.NewRecorder()
		w.entries["entry-0"].entry.OperationsHandler().ServeHTTP(rec, httptest.NewRequest("GET", "/metrics", nil))
		page := rec.Body.String()
		if strings.Contains(page, "fulmardoor_retries_total{") {
			t.Error("a request without an upstream was retried")
		}
		for _, want := range []string{
			`fulmardoor_requests_refused_within_rate_total{reason="no_upstream",verdict="not run"} 3`,
			"fulmardoor_account_least_served_ratio 0", "fulmardoor_account_least_granted_ratio 1",
		} {
			if !strings.Contains(page, "\n"+want+"\n") {
				t.Errorf("no %s", want)
			}
		}
	})
}
