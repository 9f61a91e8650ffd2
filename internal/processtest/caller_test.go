package processtest

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/fulmardoor/fulmardoor/internal/openai"
	"github.com/fulmardoor/fulmardoor/standin/engine"
)

// caller opens a connection for each request, so that no request is lost because a server closes an idle connection.
var caller = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Minute}

// answer is what one caller got.
type answer struct {
	kind      string // "booking" or "model"
	name      string // booking or prompt
	maxTokens int
	requestID string
	status    int
	code      string
	verdict   string
	text      string
	tokens    int
	whole     bool
	err       error
}

func (a answer) String() string {
	return fmt.Sprintf("%s %.30q (%s): status %d code %q verdict %q tokens %d whole %v error %v",
		a.kind, a.name, a.requestID, a.status, a.code, a.verdict, a.tokens, a.whole, a.err)
}

// send sends a request and reads a refusal if there is one; the caller closes the body of an answer without verdict.
func send(ctx context.Context, a *answer, method, url, key, body string, header http.Header) *http.Response {
	request, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		a.err = err
		return nil
	}
	for name, values := range header {
		request.Header[name] = values
	}
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	response, err := caller.Do(request)
	if err != nil {
		a.err = err
		return nil
	}
	a.status, a.requestID = response.StatusCode, response.Header.Get("X-Request-Id")
	if response.Header.Get("Fulmardoor-Verdict") == "" {
		return response
	}
	defer func() { _ = response.Body.Close() }()
	var refusal openai.Error
	a.err = json.NewDecoder(response.Body).Decode(&refusal)
	a.code, a.verdict = refusal.Error.Code, refusal.Error.Verdict
	return nil
}

// book sends a booking.
func book(ctx context.Context, url, key, booking string) answer {
	return bookWith(ctx, url, key, booking, http.Header{})
}

// bookWith sends a booking with more headers.
func bookWith(ctx context.Context, url, key, booking string, header http.Header) answer {
	a := answer{kind: "booking", name: booking}
	header.Set("X-Booking-Id", booking)
	response := send(ctx, &a, http.MethodPost, url+"/bookings", key, "{}", header)
	if response == nil {
		return a
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	a.text, a.err = string(text), err
	a.whole = err == nil && response.StatusCode == http.StatusOK
	return a
}

// complete sends a streaming completion. onToken, which may be nil, is called for each token.
func complete(ctx context.Context, url, key, prompt string, maxTokens int, onToken func(number int)) answer {
	a := answer{kind: "model", name: prompt, maxTokens: maxTokens}
	body := fmt.Sprintf(`{"model":"drafter","prompt":%q,"max_tokens":%d,"stream":true}`, prompt, maxTokens)
	response := send(ctx, &a, http.MethodPost, url+"/v1/completions", key, body, nil)
	if response == nil {
		return a
	}
	defer func() { _ = response.Body.Close() }()
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() && !a.whole && a.code == "" {
		if data, ok := strings.CutPrefix(scanner.Text(), "data: "); ok {
			a.event(data, onToken)
		}
	}
	if a.err == nil {
		a.err = scanner.Err()
	}
	return a
}

// event takes one server-sent event.
func (a *answer) event(data string, onToken func(number int)) {
	if data == "[DONE]" {
		a.whole = true
		return
	}
	var chunk struct {
		openai.Response
		openai.Error
	}
	if err := json.Unmarshal([]byte(data), &chunk); err != nil {
		a.err = err
		return
	}
	a.code, a.verdict = chunk.Error.Error.Code, chunk.Error.Error.Verdict
	for _, choice := range chunk.Choices {
		if choice.Text == nil || *choice.Text == "" {
			continue
		}
		a.text += *choice.Text
		a.tokens++
		if onToken != nil {
			onToken(a.tokens)
		}
	}
}

// promptOf returns a prompt of about so many tokens that no other number has.
func promptOf(number, tokens int) string {
	const bytesPerToken = 4
	var b strings.Builder
	for i := 0; b.Len() < tokens*bytesPerToken; i++ {
		fmt.Fprintf(&b, "stall %d item %d, ", number, i*number)
	}
	return b.String()
}

// wrongText guards H5 and H2: each token of the answer is there once and in order, to the end if the answer is whole.
func (a answer) wrongText() string {
	want := engine.Output("drafter", a.name, 0, a.maxTokens)
	expected := strings.Join(want[:min(a.tokens, len(want))], "")
	if a.text != expected || (a.whole && a.tokens != len(want)) {
		return fmt.Sprintf("%v: text %q, want %q", a, a.text, expected)
	}
	return ""
}

// traffic sends requests from several callers until it is stopped.
type traffic struct {
	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup

	mu      sync.Mutex // guards the fields below
	targets []string
	sent    int
	answers []answer
}

// request sends the request with a number to an entry process.
type request func(ctx context.Context, url string, number int) answer

func startTraffic(callers int, targets []string, send request) *traffic {
	f := &traffic{targets: targets}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	for range callers {
		f.running.Go(func() {
			for f.ctx.Err() == nil {
				url, number := f.next()
				a := send(context.Background(), url, number)
				f.mu.Lock()
				f.answers = append(f.answers, a)
				f.mu.Unlock()
				if !a.whole {
					time.Sleep(pollPace) // a caller that is refused does not ask again at once
				}
			}
		})
	}
	return f
}

func (f *traffic) next() (url string, number int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sent++
	return f.targets[f.sent%len(f.targets)], f.sent
}

// steer sends the following requests to other entry processes, as a load balancer does.
func (f *traffic) steer(targets ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.targets = targets
}

// count returns the number of answers that count.
func (f *traffic) count(counts func(answer) bool) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, a := range f.answers {
		if counts(a) {
			n++
		}
	}
	return n
}

// stop lets the requests under way end and returns all answers.
func (f *traffic) stop() []answer {
	f.cancel()
	f.running.Wait()
	return f.answers
}

// summary counts the answers by their end.
func (f *traffic) summary() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	counts := make(map[string]int)
	for _, a := range f.answers {
		counts[fmt.Sprintf("%s %d %s %s whole=%v", a.kind, a.status, a.code, a.verdict, a.whole)]++
	}
	return fmt.Sprintf("%d sent, %v", f.sent, counts)
}

func isWhole(a answer) bool { return a.whole }

// urls returns the callers' URLs of the entry processes.
func (d *deployment) urls() []string {
	var list []string
	for _, e := range d.entries {
		list = append(list, e.url())
	}
	return list
}

// waitWhole waits until so many more answers of the traffic are whole.
func (d *deployment) waitWhole(f *traffic, more int) {
	d.t.Helper()
	target := f.count(isWhole) + more
	eventually(d.t, "whole answers", func() string {
		if n := f.count(isWhole); n < target {
			return fmt.Sprintf("%d of %d; %s", n, target, f.summary())
		}
		return ""
	})
}

func (d *deployment) booking(ctx context.Context, url string, number int) answer {
	return book(ctx, url, d.keys[0], fmt.Sprintf("b%d", number))
}

func (d *deployment) completion(ctx context.Context, url string, number int) answer {
	return complete(ctx, url, d.keys[0], promptOf(number, 200+number%5*700), 30, nil)
}

// mixed sends bookings and completions in turn.
func (d *deployment) mixed(ctx context.Context, url string, number int) answer {
	if number%2 == 0 {
		return d.booking(ctx, url, number)
	}
	return d.completion(ctx, url, number)
}
