package processtest

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/fulmardoor/fulmardoor/internal/kv/memory"
	"github.com/fulmardoor/fulmardoor/platform/platformtest"
)

const (
	// leavingConfig is the operator's configuration, with the latency target of the users' stream routes.
	leavingConfig = `{"version":1,"routes":[{"name":"note","host":"h.example","path_prefix":"/note/","kind":"streaming","timeout_ms":14000,
"latency_goal_ms":900,"gap_aim_ms":300,"service":"llm","attempts":1,"public":true}],"services":[{"name":"llm","max_conns":100,
"engine":{"slots":64,"kv_tokens":40000,"kv_token_bytes":18432,"link_mbps":180000,"stride":13,"handle_ttl_s":10,"hold_ms":2000}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":1000000,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`
	// leavingDrainTime is bounds.drain_ms in platformtest.RouterSettings.
	leavingDrainTime = 2 * time.Second
)

// slowPrefill is a prefill engine whose prompts take longer than leavingDrainTime.
type slowPrefill struct{ started chan struct{} }

// ServeHTTP implements http.Handler.
func (p *slowPrefill) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // the prompt is not used
	if r.Header.Get("Fulmardoor-Stage") != "prefill" {
		return
	}
	p.started <- struct{}{}
	select {
	case <-time.After(leavingDrainTime + 300*time.Millisecond):
	case <-r.Context().Done():
		return
	}
	w.Header().Set("Fulmardoor-Request-Id", r.Header.Get("Fulmardoor-Request-Id"))
	_ = json.NewEncoder(w).Encode(map[string]any{"handle": "h1", "tokens": 10, "version": 1})
}

// Guards against a stream that is sent to a decode engine later than drain_ms after the engine said that it leaves: the engine is
// chosen before the prompt is prefilled and not checked again after that.
func TestStreamIsNotSentToEngineThatLeftDuringPrefill(t *testing.T) {
	t.Parallel()
	prefill := &slowPrefill{started: make(chan struct{}, 10)}
	prefillServer := httptest.NewServer(prefill)
	t.Cleanup(prefillServer.Close)
	decode := platformtest.NewRunner(t, "i-d", "decode")
	store := memory.New(memory.Options{})
	store.Put("op/config", []byte(leavingConfig))
	entry := platformtest.Entry{Service: "llm", Zone: "here", Slots: 64, Stage: "prefill", Address: prefillServer.Listener.Addr().String()}
	store.Put("servers/i-p", entry.Text())
	entry.Stage, entry.Address = "decode", decode.Address
	store.Put("servers/i-d", entry.Text())
	router := startRouter(t, store, 8*time.Second)
	header := make(http.Header)
	platformtest.SetCallerHeaders(header, "0000000000000001", "", 10000, true)
	// The router gives a prefill three times its expected time. For a prompt of this size that is longer than slowPrefill takes.
	header.Set("Fulmardoor-Token-Count", "30000,60")
	var request bytes.Buffer
	fmt.Fprint(&request, "POST /note/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 0\r\n")
	_ = header.Write(&request) // writes to a bytes.Buffer never fail
	request.WriteString("\r\n")
	answers := make(chan stopAnswer, 1)
	// A request that arrives before the router has read the upstreams is refused.
	eventually(t, "the prefill runs", func() string {
		conn, err := net.Dial("tcp", router.callerAddress)
		if err != nil {
			return err.Error()
		}
		t.Cleanup(func() { _ = conn.Close() })
		if _, err := conn.Write(request.Bytes()); err != nil {
			return err.Error()
		}
		answer := make(chan stopAnswer, 1)
		go func() { answer <- readAnswer(conn) }()
		select {
		case <-prefill.started:
			go func() { answers <- <-answer }()
			return ""
		case got := <-answer:
			return got.String()
		}
	})
	store.Put("servers/i-d", bytes.Replace(entry.Text(), []byte(`"ready"`), []byte(`"draining"`), 1))
	left := time.Now()
	got := <-answers
	if got.err != nil {
		t.Errorf("answer: %v", got)
	}
	for _, seen := range decode.Requests() {
		if after := seen.At.Sub(left); after > leavingDrainTime {
			t.Errorf("the stream reached the engine %v after the store had its state \"draining\", more than %v; ran: %v",
				after.Round(time.Millisecond), leavingDrainTime, seen.Ran)
		}
	}
}
