package admin

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"net/http/httptest"
	"net/url"
	"os"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/go-faster/errors"
	"github.com/gorilla/mux"
	"go.uber.org/zap"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
)

// fakeBackend returns the replies that the test sets and records the arguments of the calls.
type fakeBackend struct {
	applyReply ApplyReply
	orderReply OrderReply
	err        error
	// lastCall has the arguments of the last call, separated by colons.
	lastCall  string
	lastOrder *wirev1.OrderRequest
	lastQuery *wirev1.EventQuery
}

func (b *fakeBackend) Document(_ context.Context, team string) ([]byte, int64, error) {
	if team == "none" || b.err != nil {
		return nil, 0, b.err
	}
	return []byte("text of " + team), 7, nil
}

func (b *fakeBackend) Documents() []DocumentInfo {
	return []DocumentInfo{{Team: "kilimo", Revision: 7}, {Team: "hakata", Revision: 9}}
}

func (b *fakeBackend) Apply(_ context.Context, team string, text []byte, revision int64) (ApplyReply, error) {
	b.lastCall = team + ":" + string(text)
	return b.applyReply, b.err
}

func (b *fakeBackend) Status() Status {
	return Status{Process: "entry-0", WorstServed: &AccountShare{Account: "agents", Ratio: 0.5}}
}

func (b *fakeBackend) Upstreams(team string) []UpstreamStatus {
	b.lastCall = team
	return nil
}

func (b *fakeBackend) Order(_ context.Context, team, upstream string, order *wirev1.OrderRequest) (OrderReply, error) {
	b.lastCall, b.lastOrder = team+":"+upstream, order
	return b.orderReply, b.err
}

func (b *fakeBackend) CollectEvents(_ context.Context, query *wirev1.EventQuery) []*wirev1.Event {
	b.lastQuery = query
	return []*wirev1.Event{{Process: "entry-0", Kind: "refused", Request: query.GetRequest()}}
}

func hash(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// serveAPI serves the API and returns its URL. The token "all" is that of an operator of all teams, "one" that of an operator
// of team kilimo.
func serveAPI(t *testing.T, backend *fakeBackend) string {
	t.Helper()
	operators, err := ParseOperators("root:" + hash("all") + ":*, lead:" + hash("one") + ":kilimo")
	if err != nil {
		t.Fatal(err)
	}
	router := mux.NewRouter()
	Register(router, backend, operators, zap.NewNop())
	server := httptest.NewServer(router)
	t.Cleanup(server.Close)
	return server.URL
}

// Guards against requests that are served without a valid token, or to an operator of another team.
func TestAuthorization(t *testing.T) {
	base := serveAPI(t, &fakeBackend{applyReply: ApplyReply{Outcome: OutcomeAccepted}, orderReply: OrderReply{Accepted: true}})
	for _, c := range []struct {
		method, path, authorization string
		want                        int
	}{
		{"GET", PathStatus, "", 401},
		{"GET", PathStatus, "Bearer ", 401},
		{"GET", PathStatus, "Bearer wrong", 401},
		{"GET", PathStatus, "Basic all", 401},
		{"GET", PathStatus, "Bearer " + hash("all"), 401},
		{"GET", PathDocuments, "", 401},
		{"PUT", PathDocuments + "/kilimo?revision=0", "", 401},
		{"POST", PathUpstreams + "/u/drain", "", 401},
		{"GET", PathEvents, "", 401},
		{"GET", PathStatus, "Bearer one", 200},
		{"GET", PathDocuments + "/kilimo", "Bearer one", 200},
		{"GET", PathDocuments + "/hakata", "Bearer one", 403},
		{"GET", PathDocuments + "/*", "Bearer one", 403},
		{"PUT", PathDocuments + "/kilimo?revision=7", "Bearer one", 200},
		{"PUT", PathDocuments + "/hakata?revision=7", "Bearer one", 403},
		{"PUT", PathDocuments + "/hakata?revision=7", "Bearer all", 200},
		{"PUT", PathDocuments + "/kilimo", "Bearer one", 400},
		{"PUT", PathDocuments + "/kilimo?revision=x", "Bearer one", 400},
		{"GET", PathEvents, "Bearer one", 403},
		{"GET", PathEvents + "?upstream=u", "Bearer one", 403},
		{"GET", PathEvents + "?request=r", "Bearer one", 200},
		{"GET", PathEvents, "Bearer all", 200},
		{"GET", PathEvents + "?revision=x", "Bearer all", 400},
		{"POST", PathUpstreams + "/u/explode", "Bearer one", 400},
		{"POST", PathUpstreams + "/u/engine", "Bearer one", 400},
	} {
		request, err := http.NewRequest(c.method, base+c.path, strings.NewReader(""))
		if err != nil {
			t.Fatal(err)
		}
		if c.authorization != "" {
			request.Header.Set("Authorization", c.authorization)
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		if response.StatusCode != c.want {
			t.Errorf("%s %s with %q: %d, want %d", c.method, c.path, c.authorization, response.StatusCode, c.want)
		}
	}
}

// Guards against lists and states that show an operator of one team the data of other teams.
func TestOperatorsSeeOnlyTheirTeam(t *testing.T) {
	backend := &fakeBackend{}
	base := serveAPI(t, backend)
	for token, want := range map[string]struct {
		documents int
		account   bool
		team      string
	}{"all": {2, true, AllTeams}, "one": {1, false, "kilimo"}} {
		client := NewClient(base, token)
		list, err := client.Documents(t.Context())
		if err != nil || len(list) != want.documents || list[0].Team != "kilimo" {
			t.Errorf("%s: documents %v, %v", token, list, err)
		}
		status, err := client.Status(t.Context())
		if err != nil || (status.WorstServed != nil) != want.account {
			t.Errorf("%s: status %v, %v", token, status, err)
		}
		if _, err := client.Upstreams(t.Context()); err != nil || backend.lastCall != want.team {
			t.Errorf("%s: upstreams of %q, %v", token, backend.lastCall, err)
		}
	}
}

// Guards against an outcome of an apply that reaches the client as a different one, in particular unknown as accepted.
func TestApplyOutcomes(t *testing.T) {
	for _, c := range []struct {
		reply  ApplyReply
		err    error
		failed string
	}{
		{reply: ApplyReply{Outcome: OutcomeAccepted, Revision: 8}},
		{reply: ApplyReply{Outcome: OutcomeRejected, Faults: []string{"a", "b"}}},
		{reply: ApplyReply{Outcome: OutcomeLostRace, Revision: 9, OtherText: "other"}},
		{reply: ApplyReply{Outcome: OutcomeUnknown, Detail: "lost"}},
		{err: errors.New("store down"), failed: "nothing was changed: store down"},
	} {
		backend := &fakeBackend{applyReply: c.reply, err: c.err}
		got, err := NewClient(serveAPI(t, backend), "one").Apply(t.Context(), "kilimo", []byte("text"), 7)
		if backend.lastCall != "kilimo:text" {
			t.Errorf("backend got %q", backend.lastCall)
		}
		if c.failed != "" {
			if err == nil || !strings.Contains(err.Error(), c.failed) {
				t.Errorf("error %v, want %s", err, c.failed)
			}
			continue
		}
		if err != nil || got.Outcome != c.reply.Outcome || got.Revision != c.reply.Revision ||
			len(got.Faults) != len(c.reply.Faults) || got.OtherText != c.reply.OtherText {
			t.Errorf("%v, %v; want %v", got, err, c.reply)
		}
	}
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer server.Close()
	if got, err := NewClient(server.URL, "one").Apply(t.Context(), "kilimo", nil, 7); err != nil || got.Outcome != OutcomeUnknown {
		t.Errorf("connection closed without a response: %v, %v", got, err)
	}
}

// Guards against a document that is accepted although it is too large for the store, and against a missing document that is
// reported as an error.
func TestDocumentLimits(t *testing.T) {
	client := NewClient(serveAPI(t, &fakeBackend{applyReply: ApplyReply{Outcome: OutcomeAccepted}}), "all")
	if _, err := client.Apply(t.Context(), "kilimo", make([]byte, maxBodyBytes+1), 0); err == nil {
		t.Error("a document above the size limit was accepted")
	}
	if text, revision, err := client.Document(t.Context(), "none"); err != nil || revision != 0 || text != nil {
		t.Errorf("%q, %d, %v", text, revision, err)
	}
	if text, revision, err := client.Document(t.Context(), "kilimo"); err != nil || revision != 7 || string(text) != "text of kilimo" {
		t.Errorf("%q, %d, %v", text, revision, err)
	}
}

// Guards against an order that reaches the backend as a different one or for another team, or that is reported as accepted
// although it was rejected.
func TestOrders(t *testing.T) {
	backend := &fakeBackend{orderReply: OrderReply{Accepted: true, FencingNumber: 3}}
	client := NewClient(serveAPI(t, backend), "one")
	for kind, matches := range map[string]func(*wirev1.OrderRequest) bool{
		"drain":  func(o *wirev1.OrderRequest) bool { return o.GetDrain() },
		"return": func(o *wirev1.OrderRequest) bool { return o.GetReturnToService() },
		"engine": func(o *wirev1.OrderRequest) bool {
			return o.GetEngine().GetLoadModel() == "m" && o.GetEngine().GetChangeRole() == wirev1.EngineRole_ENGINE_ROLE_DECODE
		},
	} {
		reply, err := client.Order(t.Context(), "a/b", kind, &EngineOrder{LoadModel: "m", ChangeRole: "decode"})
		if err != nil || !reply.Accepted || !matches(backend.lastOrder) || backend.lastCall != "kilimo:a/b" {
			t.Errorf("%s: %v, %v, %v for %s", kind, reply, err, backend.lastOrder, backend.lastCall)
		}
	}
	backend.orderReply = OrderReply{Reason: "stale_order"}
	if reply, err := client.Order(t.Context(), "u", "drain", nil); err != nil || reply.Accepted || reply.Reason != "stale_order" {
		t.Errorf("stale: %v, %v", reply, err)
	}
	backend.err = errors.Wrap(ErrNoUpstream, "u")
	if _, err := client.Order(t.Context(), "u", "drain", nil); err == nil || !strings.HasPrefix(err.Error(), "404") {
		t.Errorf("unknown upstream: %v", err)
	}
}

// Guards against a filter of the timeline that does not reach the backend.
func TestEventQuery(t *testing.T) {
	backend := &fakeBackend{}
	query := url.Values{"request": {"r1"}, "upstream": {"u1"}, "revision": {"4"}}
	text, err := NewClient(serveAPI(t, backend), "all").Events(t.Context(), query)
	if err != nil || !strings.Contains(string(text), "refused") {
		t.Errorf("%s, %v", text, err)
	}
	if q := backend.lastQuery; q.GetRequest() != "r1" || q.GetUpstream() != "u1" || q.GetConfigRevision() != 4 {
		t.Errorf("query %v", q)
	}
}

// Guards against operators without a token hash, with a hash of the wrong length or with superfluous fields.
func TestParseOperators(t *testing.T) {
	for setting, ok := range map[string]bool{
		"": true, "a:" + hash("x") + ":*": true, " a:" + hash("x") + ":t , b:" + hash("y") + ":t ": true,
		"a:" + hash("x"): false, "a:abcd:*": false, "a::*": false, "a:" + hash("x") + ":t:u": false,
	} {
		if _, err := ParseOperators(setting); (err == nil) != ok {
			t.Errorf("%q: %v", setting, err)
		}
	}
}

// Guards against a body that came too slowly and is reported as too large or invalid, or takes effect.
func TestLateBody(t *testing.T) {
	operators, err := ParseOperators("root:" + hash("all") + ":*")
	if err != nil {
		t.Fatal(err)
	}
	backend := &fakeBackend{}
	router := mux.NewRouter()
	Register(router, backend, operators, zap.NewNop())
	for path, method := range map[string]string{
		PathDocuments + "/kilimo?revision=0": http.MethodPut, PathUpstreams + "/u/engine": http.MethodPost,
	} {
		request := httptest.NewRequest(method, path, iotest.ErrReader(os.ErrDeadlineExceeded))
		request.Header.Set("Authorization", "Bearer all")
		response := httptest.NewRecorder()
		router.ServeHTTP(response, request)
		if response.Code != http.StatusRequestTimeout || backend.lastCall != "" {
			t.Errorf("%s: status %d, backend called with %q", path, response.Code, backend.lastCall)
		}
	}
}
