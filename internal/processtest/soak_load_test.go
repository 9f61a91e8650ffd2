package processtest

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fulmardoor/fulmardoor/platform/platformtest"
)

const (
	soakClients = 12
	// soakPace is the mean pause of one client between two requests.
	soakPace = 40 * time.Millisecond
	// hotPace is that of the client whose account asks for five times its rate.
	hotPace      = 20 * time.Millisecond
	readyRefresh = 200 * time.Millisecond
)

var soakKinds = []string{"book", "look", "note", "reply"}

// soakResult is what one caller saw.
type soakResult struct {
	id, kind, account string
	router            string
	at, ended         time.Time
	status            int // 0 without an answer
	body              string
	stamp             string
	retryAfter        string
	err               error // the answer was not whole
}

// soakLoad sends requests until it is stopped.
type soakLoad struct {
	f    *soakFleet
	quit chan struct{}
	done sync.WaitGroup
	next atomic.Int64

	mu      sync.Mutex // guards the fields below
	results []soakResult
	ready   []*soakRouter
}

func startSoakLoad(f *soakFleet) *soakLoad {
	l := &soakLoad{f: f, quit: make(chan struct{}), ready: f.routers}
	l.done.Go(l.balance)
	for i := range soakClients {
		l.done.Go(func() { l.client("usual", soakKinds[i%len(soakKinds)], soakPace) })
	}
	l.done.Go(func() { l.client("hot", "look", hotPace) })
	return l
}

// balance keeps the list of routers that are ready.
func (l *soakLoad) balance() {
	for {
		var ready []*soakRouter
		for _, r := range l.f.routers {
			if r.isReady() {
				ready = append(ready, r)
			}
		}
		l.mu.Lock()
		l.ready = ready
		l.mu.Unlock()
		select {
		case <-l.quit:
			return
		case <-time.After(readyRefresh):
		}
	}
}

func (l *soakLoad) client(account, kind string, pace time.Duration) {
	transport := &http.Transport{MaxIdleConnsPerHost: 4}
	defer transport.CloseIdleConnections()
	for {
		select {
		case <-l.quit:
			return
		case <-time.After(time.Duration(rand.Int64N(int64(2 * pace)))):
		}
		l.mu.Lock()
		ready := l.ready
		l.mu.Unlock()
		if len(ready) == 0 {
			continue
		}
		result := l.send(transport, ready[rand.IntN(len(ready))], account, kind)
		l.mu.Lock()
		l.results = append(l.results, result)
		l.mu.Unlock()
	}
}

// send makes one request. Requests of plain kinds are sent as POST, which net/http does not repeat on its own.
func (l *soakLoad) send(transport http.RoundTripper, router *soakRouter, account, kind string) soakResult {
	result := soakResult{id: fmt.Sprintf("%016x", l.next.Add(1)), kind: kind, account: account, router: router.name, at: time.Now()}
	request, err := http.NewRequest(http.MethodPost, "http://"+router.callers+"/"+kind+"/x", strings.NewReader("body"))
	if err != nil {
		l.f.t.Error(err)
		return result
	}
	request.Host = "h.example"
	model, deadlineMs := kind == "note" || kind == "reply", 1500
	if model {
		deadlineMs = 5000
	}
	platformtest.SetCallerHeaders(request.Header, result.id, "key-"+account, deadlineMs, model)
	client := &http.Client{Transport: transport, Timeout: 8 * time.Second}
	response, err := client.Do(request)
	if err != nil {
		result.err, result.ended = err, time.Now()
		return result
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	result.status, result.body, result.err, result.ended = response.StatusCode, string(body), err, time.Now()
	result.stamp, result.retryAfter = response.Header.Get("Fulmardoor-Response-Stamp"), response.Header.Get("Retry-After")
	return result
}

func (l *soakLoad) stop() []soakResult {
	close(l.quit)
	l.done.Wait()
	return l.results
}

// wanted is the whole answer to a kind of request.
func (r *soakResult) wanted() string {
	if r.kind == "book" || r.kind == "look" {
		return "answer"
	}
	return platformtest.WholeStream()
}
