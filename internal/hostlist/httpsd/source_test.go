package httpsd

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/go-faster/errors"

	"github.com/fulmardoor/fulmardoor/internal/hostlist"
)

// Guards against one odd row of the host list that loses the others: no entry process learnt of another one any more. Guards against a list that looks
// complete without it, too: its host would count as removed.
func TestOddRowLosesNoOther(t *testing.T) {
	const sound = `{"targets":["10.0.0.1:80"],"labels":{"__meta_fulmardoor_role":"entry"}}`
	for _, odd := range []string{
		`{"targets":["10.0.0.9:65536"]}`, `{"targets":["10.0.0.9:0"]}`, `{"targets":["10.0.0.9"]}`, `{"targets":[""]}`, `{"targets":["host.example:80"]}`,
		`{"targets":["0.0.0.0:80"]}`, `{"targets":[7]}`, `{"targets":"10.0.0.9:80"}`, `{"targets":["10.0.0.9:80"],"labels":{"x":1e400}}`, `7`, `"x"`, `[[]]`,
		`{"targets":` + strings.Repeat("[", 5000) + strings.Repeat("]", 5000) + `}`,
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintf(w, "[%s,%s]", odd, sound) }))
		hosts, err := New(server.URL, nil).Hosts(t.Context())
		if !errors.Is(err, hostlist.ErrIncomplete) || len(hosts) != 1 || hosts[0].Address != "10.0.0.1:80" {
			t.Errorf("%.60s: %v, %v", odd, hosts, err)
		}
		server.Close()
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, strings.Repeat("[", 1<<20)) }))
	defer server.Close()
	if hosts, err := New(server.URL, nil).Hosts(t.Context()); err == nil || errors.Is(err, hostlist.ErrIncomplete) || hosts != nil {
		t.Errorf("no list: %v, %v", hosts, err)
	}
}
