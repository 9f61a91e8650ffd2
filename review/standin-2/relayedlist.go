package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// drainTime is bounds.drain_ms, the time after which a runner that left must get no request.
	drainTime = 2 * time.Second
	// lingerTime is how long the runner serves after its entry was removed: drain_ms and a little longer.
	lingerTime = drainTime + 2000*time.Millisecond
)

// relayedList cuts the router that reads the list of runners for all from the store. One of two runners leaves meanwhile without reporting
// "draining", and the other one is full when the cut heals. All requests are sent to the router that was never cut.
func relayedList(record *recorder, folder string, trouble bool) (broken bool, err error) {
	net := loopbackNetwork()
	platform, err := startStore(net + "1:0")
	if err != nil {
		return false, err
	}
	var leftAt atomic.Int64 // when the store acknowledged the removal, in nanoseconds since the start of the record
	var late atomic.Int64
	arrived := func(runner *plainRunner, id string, at time.Time) {
		record.note("%s reaches %s", id, runner.id)
		if left := leftAt.Load(); runner.id == "i-left" && left != 0 && at.Sub(record.began)-time.Duration(left) > drainTime {
			late.Add(1)
			record.note("BROKEN: %s reached i-left %d ms after it had left (bound %d ms)", id, (at.Sub(record.began) - time.Duration(left)).Milliseconds(), drainTime.Milliseconds())
		}
	}
	left := &plainRunner{id: "i-left", zone: "msasani", record: record, work: 60 * time.Millisecond, slots: 6, queue: 24, arrived: arrived}
	stays := &plainRunner{id: "i-stays", zone: "msasani", record: record, work: 60 * time.Millisecond, slots: 6, queue: 24, arrived: arrived}
	for i, runner := range []*plainRunner{left, stays} {
		if err := startPlainRunner(runner, fmt.Sprintf("%s%d", net, 10+i)); err != nil {
			return false, err
		}
		defer func() { _ = runner.server.Close() }()
		platform.put("servers/"+runner.id, runner.entry(service, "ready"))
	}
	platform.put("op/config", configuration())
	path, err := startProxy(net+"2:0", platform.address)
	if err != nil {
		return false, err
	}
	reader, err := startRouter(folder, "front-kariakoo-1", "kariakoo", net+"20", path.address)
	if err != nil {
		return false, err
	}
	defer reader.end()
	other, err := startRouter(folder, "front-msasani-1", "msasani", net+"21", platform.address)
	if err != nil {
		return false, err
	}
	defer other.end()
	for _, r := range []*router{reader, other} {
		if err := r.waitReady(); err != nil {
			return false, err
		}
	}
	time.Sleep(8 * time.Second) // both know each other, and one reads the list for both

	clients := &clients{record: record, address: other.front}
	defer clients.wait()
	clients.start(20, 300*time.Millisecond)
	if trouble {
		record.note("front-kariakoo-1 is partitioned from the store")
		path.cut()
	}
	time.Sleep(3 * time.Second)
	platform.remove("servers/" + left.id)
	leftAt.Store(int64(time.Since(record.began)))
	record.note("i-left is gone: its entry is removed, acknowledged by the store; it serves for %d ms more", lingerTime.Milliseconds())
	time.AfterFunc(lingerTime, func() {
		record.note("i-left exits")
		_ = left.server.Close()
	})
	time.Sleep(drainTime + 100*time.Millisecond)
	if trouble {
		record.note("the partition heals")
		path.heal()
	}
	time.Sleep(500 * time.Millisecond)
	record.note("many users come at once")
	clients.start(60, 0)
	time.Sleep(2500 * time.Millisecond)
	clients.stop()
	time.Sleep(500 * time.Millisecond)
	record.note("%d requests reached i-left more than %d ms after it had left; answers by status: %v", late.Load(), drainTime.Milliseconds(), clients.counts())
	return late.Load() > 0, nil
}

// clients send bookings one after the other, each on a connection of its own.
type clients struct {
	record  *recorder
	address string
	number  atomic.Int64
	stopped atomic.Bool
	running sync.WaitGroup

	mu     sync.Mutex // guards status
	status map[string]int
}

// start starts clients that pause between two requests.
func (c *clients) start(count int, pause time.Duration) {
	for range count {
		c.running.Go(func() {
			client := &http.Client{Transport: &http.Transport{}, Timeout: 3 * time.Second}
			defer client.CloseIdleConnections()
			for !c.stopped.Load() {
				time.Sleep(max(pause, c.send(client)))
			}
		})
	}
}

// send sends a booking and returns the time that the client must wait after its answer.
func (c *clients) send(client *http.Client) (retryAfter time.Duration) {
	id := fmt.Sprintf("b%06d", c.number.Add(1))
	request, _ := http.NewRequest(http.MethodPost, "http://"+c.address+"/book/1", nil)
	request.Host = "book.example"
	request.Header.Set("Fulmardoor-Request-Id", id)
	request.Header.Set("Fulmardoor-Deadline-Ms", "3000")
	c.record.note("%s is sent to front-msasani-1", id)
	response, err := client.Do(request)
	result := "no answer"
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		result = fmt.Sprint(response.StatusCode)
		seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64) // 0 without the header
		retryAfter = time.Duration(seconds * float64(time.Second))
		if err != nil {
			result = "cut"
		}
	}
	c.record.note("%s is answered: %s", id, result)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.status == nil {
		c.status = make(map[string]int)
	}
	c.status[result]++
	return retryAfter
}

func (c *clients) stop() { c.stopped.Store(true) }

func (c *clients) wait() {
	c.stop()
	c.running.Wait()
}

func (c *clients) counts() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := make(map[string]int)
	for status, count := range c.status {
		counts[status] = count
	}
	return counts
}
