package processtest

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// sidecarMemoryMB is the memory of the machines beside runners in the users' deployments.
const sidecarMemoryMB = 216

// badUpstream is what a faulty upstream sends to the requests of a sidecar.
type badUpstream struct {
	name, role string
	// path is that of the requests that get head, and then line up to size bytes. The others get a sound answer.
	path, head, line string
	size             int
}

const okHead = "HTTP/1.1 200 OK\r\n"

var badUpstreams = []badUpstream{
	{"booking, header lines without end", "service", "/bookings", okHead, distinctHeaders(16000), endless},
	{"booking, body without end", "service", "/bookings", okHead + "\r\n", strings.Repeat("x", 16000), endless},
	{"prefill, header lines without end", "prefill", "/v1/completions", okHead, distinctHeaders(16000), endless},
	{"prefill, body without end", "prefill", "/v1/completions", okHead + "\r\n", strings.Repeat("x", 16000), endless},
	{"prefill, list without end", "prefill", "/v1/completions", okHead + "\r\n" + `{"choices":[`, strings.Repeat("{},", 5000), endless},
	{"decode, event of nearly the permitted size", "decode", "/v1/completions", okHead + "Content-Type: text/event-stream\r\n\r\ndata: ", strings.Repeat("x", 16000), 1_000_000},
	{"cache state without end", "decode", "/kv_cache", okHead + "\r\n" + `{"number":1,"hashes":[`, strings.Repeat("1,", 8000), endless},
	{"cache events without end", "decode", "/kv_events", okHead + "\r\n" + `{"events":[`, strings.Repeat(`{"number":1},`, 1000), endless},
	{"load without end", "decode", "/metrics", okHead + "\r\n", strings.Repeat("x", 16000), endless},
}

// soundAnswers has the bodies of sound answers by path.
var soundAnswers = map[string]string{
	"/kv_cache": `{"number":0,"hashes":[]}`, "/kv_events": `{"events":[]}`,
	"/metrics": "vllm:num_requests_running 0\nvllm:num_requests_waiting 0\nvllm:kv_cache_usage_perc 0\n",
	"/v1/completions": `{"choices":[{"text":"x"}],"usage":{"prompt_tokens":5},"kv_transfer_params":{"remote_handle":"h","remote_address":"a","remote_tokens":5,` +
		`"remote_bytes":5}}`,
}

// serve answers a request. Bad answers wait until together has all requests.
func (u *badUpstream) serve(w http.ResponseWriter, r *http.Request, together *gathering) {
	_, _ = io.Copy(io.Discard, r.Body)
	if r.URL.Path != u.path {
		if r.URL.Path == "/kv_events" {
			time.Sleep(100 * time.Millisecond)
		}
		answer, ok := soundAnswers[r.URL.Path]
		if !ok {
			answer = "{}"
		}
		_, _ = io.WriteString(w, answer)
		return
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	if u.path == "/bookings" || u.path == "/v1/completions" {
		together.wait()
	}
	sendUntilClosed(conn, u.head, u.line, u.size)
}

// sendUntilClosed sends head, and then line repeatedly up to size bytes, and waits until the other end closes the connection.
func sendUntilClosed(c net.Conn, head, line string, size int) {
	if _, err := io.WriteString(c, head); err != nil {
		return
	}
	for sent := 0; sent < size; {
		n, err := io.WriteString(c, line)
		if err != nil {
			return
		}
		sent += n
	}
	_ = c.SetReadDeadline(time.Now().Add(3 * time.Second))
	_, _ = io.Copy(io.Discard, c)
}

// Guards against a sidecar that runs out of memory because its upstream sends bytes that are no answer, in a head or a body, many at once, and
// against an entry that does because of them.
func TestSidecarMemoryUnderBadAnswers(t *testing.T) {
	const callers = 20
	for _, bad := range badUpstreams {
		t.Run(bad.name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			d.startPlatform()
			together := newGathering(callers)
			for _, role := range []string{"service", "prefill", "decode"} {
				pool := "drafter"
				if role == "service" {
					pool = "ledger"
				}
				upstream := &badUpstream{}
				if role == bad.role {
					upstream = &bad
				}
				d.startInProcess(role, pool, role, callers, func(w http.ResponseWriter, r *http.Request) { upstream.serve(w, r, together) })
			}
			d.startEntry(d.writeEntrySettings(0, 1))
			d.waitHealthy()
			d.mustApply(d.documentText(nil))
			d.waitConnected()
			sidecar := d.findUpstream(bad.role).sidecar
			before := sidecar.peakMemoryMB()
			ctx, cancel := context.WithTimeout(t.Context(), 6*time.Second)
			defer cancel()
			var running sync.WaitGroup
			for i := range callers {
				running.Go(func() {
					if bad.role == "service" {
						bookWithHeader(ctx, d.entries[0].callerURL(), d.keys[0], fmt.Sprint(i), http.Header{"Idempotency-Key": {fmt.Sprint("key-", i)}})
					} else {
						complete(ctx, d.entries[0].callerURL(), d.keys[0], uniquePrompt(i, 50), 10, nil)
					}
				})
			}
			running.Wait()
			peak, entryPeak := sidecar.peakMemoryMB(), d.entries[0].process.peakMemoryMB()
			t.Logf("sidecar %d MB before, %d MB at most; entry %d MB", before, peak, entryPeak)
			if peak > sidecarMemoryMB || entryPeak > sidecarMemoryMB {
				t.Errorf("the sidecar had %d MB and the entry %d MB, their machines have %d", peak, entryPeak, sidecarMemoryMB)
			}
		})
	}
}
