package capacity

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fulmardoor/fulmardoor/standin/engine"
	"github.com/fulmardoor/fulmardoor/standin/service"
)

var bookings atomic.Uint64

// book makes a new booking and reads the whole answer.
func (s *stack) book(client *http.Client, base, body string) error {
	r, err := http.NewRequest(http.MethodPost, base+"/bookings", strings.NewReader(body))
	if err != nil {
		return err
	}
	r.Header.Set("Authorization", "Bearer "+callerKey)
	r.Header.Set(service.HeaderBookingID, fmt.Sprint(bookings.Add(1)))
	response, err := client.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("booking answered %s", response.Status)
	}
	return nil
}

// complete streams a completion and returns the time to its first token.
func complete(client *http.Client, base string, prompt string, tokens int) (first time.Duration, err error) {
	begin := time.Now()
	body := fmt.Sprintf(`{"model":"drafter","prompt":%q,"max_tokens":%d,"stream":true}`, prompt, tokens)
	response, err := post(client, base+"/v1/completions", body)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		answer, _ := io.ReadAll(response.Body)
		return 0, fmt.Errorf("completion answered %s: %s", response.Status, answer)
	}
	lines, done, events := bufio.NewScanner(response.Body), false, 0
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "data: {") {
			events++
		}
		if events == 1 && first == 0 {
			first = time.Since(begin)
		}
		done = done || lines.Text() == "data: [DONE]"
	}
	if !done || events < tokens {
		return first, fmt.Errorf("completion with %d events, whole %v", events, done)
	}
	return first, nil
}

func newClient(callers int) *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers, DisableCompression: true}}
}

// requestsPerCaller is the number of requests that each caller makes in one operation of a benchmark.
const requestsPerCaller = 4

// load runs requests by several callers and reports processor time and allocations of the whole process and the latency
// of one. It returns the number of requests.
func load(b *testing.B, callers, tokens int, request func() (time.Duration, error)) int {
	total := b.N * callers * requestsPerCaller
	var mu sync.Mutex // guards samples
	var samples []time.Duration
	var running sync.WaitGroup
	var left atomic.Int64
	left.Store(int64(total))
	b.ResetTimer()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	cpu := cpuTime()
	for range callers {
		running.Go(func() {
			for left.Add(-1) >= 0 {
				taken, err := request()
				if err != nil {
					b.Error(err)
					return
				}
				mu.Lock()
				samples = append(samples, taken)
				mu.Unlock()
			}
		})
	}
	running.Wait()
	spent := cpuTime() - cpu
	runtime.ReadMemStats(&after)
	b.ReportMetric(0, "ns/op")
	per(b, float64(spent.Microseconds()), total, "cpu-us/request")
	if tokens > 0 {
		per(b, float64(spent.Microseconds()), total*tokens, "cpu-us/token")
	}
	per(b, float64(after.Mallocs-before.Mallocs), total, "allocs/request")
	per(b, float64(after.TotalAlloc-before.TotalAlloc), total, "alloc-B/request")
	b.ReportMetric(percentile(samples, 0.5), "p50-us")
	b.ReportMetric(percentile(samples, 0.99), "p99-us")
	return total
}

// BenchmarkCompletion gives processor time and allocations of a streamed completion, and the time to its first token,
// through entry and sidecars and with the stand-in engine alone, against the number of output tokens. The difference
// between the slopes of both is the cost of a token on the path; caller, entry, sidecars and stand-in are all in this
// process. The engine alone has no prefill on another engine and no import.
func BenchmarkCompletion(b *testing.B) {
	const callers = 20
	prompt := strings.Repeat("abc ", 100)
	for _, way := range []string{"direct", "through"} {
		for _, tokens := range []int{16, 64, 256} {
			b.Run(fmt.Sprintf("%s/tokens=%d", way, tokens), func(b *testing.B) {
				s := newStack(b, nil)
				s.apply(b, "")
				client, base := newClient(callers), s.decode
				if way == "through" {
					base = s.callers
				}
				eventually(b, "completion", func() bool { _, err := complete(client, base, prompt, 2); return err == nil })
				s.peers.reset()
				total := load(b, callers, tokens, func() (time.Duration, error) { return complete(client, base, prompt, tokens) })
				per(b, float64(s.peers.sent.Load()+s.peers.received.Load()), total, "peer-B/request")
				per(b, float64(s.peers.writes.Load()), total, "sidecar-segments/request")
			})
		}
	}
}

// BenchmarkBooking gives processor time, allocations and latency of a booking through entry and sidecar and at the
// stand-in alone, against the size of its body.
func BenchmarkBooking(b *testing.B) {
	const callers = 20
	for _, way := range []string{"direct", "through"} {
		for _, size := range []int{100, 10_000, 100_000} {
			b.Run(fmt.Sprintf("%s/bytes=%d", way, size), func(b *testing.B) {
				s := newStack(b, nil)
				s.apply(b, "")
				client, base := newClient(callers), s.plain
				if way == "through" {
					base = s.callers
				}
				body := `{"note":"` + strings.Repeat("x", size) + `"}`
				s.peers.reset()
				total := load(b, callers, 0, func() (time.Duration, error) {
					begin := time.Now()
					err := s.book(client, base, body)
					return time.Since(begin), err
				})
				per(b, float64(s.peers.sent.Load()+s.peers.received.Load()), total, "peer-B/request")
				per(b, float64(s.peers.writes.Load()), total, "sidecar-segments/request")
			})
		}
	}
}

// BenchmarkRequestInFlight gives memory and goroutines of a streamed completion that is under way, through entry and
// sidecars and with the stand-in engine alone, against the number of completions under way.
func BenchmarkRequestInFlight(b *testing.B) {
	prompt := strings.Repeat("abc ", 200) // a longer one makes the imports queue for the engine's link
	for _, way := range []string{"direct", "through"} {
		for _, count := range []int{20, 100, 400} {
			b.Run(fmt.Sprintf("%s/requests=%d", way, count), func(b *testing.B) {
				s := newStack(b, func(c *engine.Config) { c.TokenGap = 100 * time.Millisecond })
				s.apply(b, "")
				base := s.decode
				if way == "through" {
					base = s.callers
				}
				client := newClient(count)
				eventually(b, "completion", func() bool { _, err := complete(client, base, prompt, 2); return err == nil })
				memory, routines := memoryInUse(), runtime.NumGoroutine()
				for b.Loop() {
					var running sync.WaitGroup
					for range count {
						running.Go(func() {
							if _, err := complete(client, base, prompt, 40); err != nil {
								b.Error(err)
							}
						})
						time.Sleep(5 * time.Millisecond) // no queue for the prefill
					}
					time.Sleep(500 * time.Millisecond)
					per(b, float64(memoryInUse()-memory), count, "B/request")
					per(b, float64(runtime.NumGoroutine()-routines), count, "goroutines/request")
					running.Wait()
				}
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

// BenchmarkRows gives the memory of a row of the upstream table with its place in the snapshot, the time until a changed
// document with all rows is in force (new rows, and a change of no row), and the time of a booking, against the number of
// upstreams in 14 pools. The rows beyond the first three belong to sidecars that do not answer.
func BenchmarkRows(b *testing.B) {
	for _, rows := range []int{100, 1000, 12000} {
		b.Run(fmt.Sprintf("upstreams=%d", rows), func(b *testing.B) {
			s := newStack(b, nil)
			s.apply(b, "")
			var more strings.Builder
			for i := range rows {
				pool := "ledger"
				if i%14 > 0 {
					pool = fmt.Sprintf("s%d", i%14)
				}
				fmt.Fprintf(&more, "[upstream \"r%d\"]\naddress=10.9.%d.%d:7000\npool=%s\nrole=service\n", i, i/250, i%250, pool)
			}
			before, begin := memoryInUse(), time.Now()
			s.apply(b, more.String())
			taken := time.Since(begin)
			time.Sleep(2 * time.Second) // first dials
			held := memoryInUse() - before
			begin = time.Now()
			s.apply(b, more.String()+"# changed\n")
			again := time.Since(begin)
			measureBookings(b, s)
			per(b, float64(held), rows, "B/row")
			b.ReportMetric(float64(taken.Microseconds()), "apply-us")
			b.ReportMetric(float64(again.Microseconds()), "change-us")
		})
	}
}

// BenchmarkMembers gives the memory of a row of the member table and the time of a booking against the number of entry
// processes, none of which answers.
func BenchmarkMembers(b *testing.B) {
	for _, members := range []int{100, 1100, 12000} {
		b.Run(fmt.Sprintf("entries=%d", members), func(b *testing.B) {
			addresses := make([]string, members)
			for i := range addresses {
				addresses[i] = fmt.Sprintf("10.8.%d.%d:7000", i/250, i%250)
			}
			s := newSidecars(b, nil)
			before := memoryInUse()
			s.startEntry(b, strings.Join(addresses, ","))
			s.apply(b, "")
			time.Sleep(2 * time.Second) // first dials
			held := memoryInUse() - before
			measureBookings(b, s)
			per(b, float64(held), members, "B/row")
		})
	}
}

// bookingsPerOperation is large enough that a burst of dials does not end the benchmark after one booking.
const bookingsPerOperation = 25

// measureBookings calls the entry's handler without a connection, so that the cost inside the entry shows, and reports
// the median.
func measureBookings(b *testing.B, s *stack) {
	var samples []time.Duration
	for b.Loop() {
		for range bookingsPerOperation {
			r := httptest.NewRequest(http.MethodPost, "/bookings", strings.NewReader("{}"))
			r.Header.Set("Authorization", "Bearer "+callerKey)
			r.Header.Set(service.HeaderBookingID, fmt.Sprint(bookings.Add(1)))
			answer, begin := httptest.NewRecorder(), time.Now()
			s.handler.ServeHTTP(answer, r)
			samples = append(samples, time.Since(begin))
			if answer.Code != http.StatusOK {
				b.Fatalf("booking answered %d: %s", answer.Code, answer.Body)
			}
		}
	}
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(percentile(samples, 0.5), "p50-us/booking")
}
