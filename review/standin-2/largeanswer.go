package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// graceTime is bounds.grace_s, and routeTimeout the timeout of the route in configuration.
	graceTime    = 8 * time.Second
	routeTimeout = 1500 * time.Millisecond
	// largeBytes is the size of the large answers. The runner has firstBytes of it at once and the rest after restDelay.
	largeBytes = 300 << 10
	firstBytes = 260 << 10
	restDelay  = 1300 * time.Millisecond
	// sendAfterStop is when the clients send their requests after the SIGTERM. It is later than the 3 s up to which a request may be cut.
	sendAfterStop = 6350 * time.Millisecond
	keptClients   = 8
	// A stream of streamEvents events, one each streamInterval, runs while the router stops and ends before its grace does.
	streamEvents   = 70
	streamInterval = 100 * time.Millisecond
	tokensPerEvent = 13
)

// streamRunner is a sound model runner in the decode stage.
type streamRunner struct {
	id     string
	record *recorder
}

// ServeHTTP implements http.Handler.
func (r *streamRunner) ServeHTTP(w http.ResponseWriter, in *http.Request) {
	id := in.Header.Get("Fulmardoor-Request-Id")
	w.Header().Set("Fulmardoor-Request-Id", id)
	if in.Header.Get("Fulmardoor-Expect-Instance") != r.id {
		w.Header().Set("Fulmardoor-Instance", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.record.note("%s runs %s", r.id, id)
	w.Header().Set("Fulmardoor-Response-Stamp", r.id+"."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	for number := 1; number <= streamEvents; number++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: word\n\n", number)
		_ = http.NewResponseController(w).Flush()
		select {
		case <-time.After(streamInterval):
		case <-in.Context().Done():
			r.record.note("%s: the connection of %s was closed", r.id, id)
			return
		}
	}
	r.record.note("%s has answered %s", r.id, id)
}

// reportRunner is a sound runner of a plain service. To a path that ends with "large" it gives a large answer, part of which takes some time.
type reportRunner struct {
	id     string
	record *recorder
}

// ServeHTTP implements http.Handler.
func (r *reportRunner) ServeHTTP(w http.ResponseWriter, in *http.Request) {
	id := in.Header.Get("Fulmardoor-Request-Id")
	w.Header().Set("Fulmardoor-Request-Id", id)
	if in.Header.Get("Fulmardoor-Expect-Instance") != r.id {
		w.Header().Set("Fulmardoor-Instance", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.record.note("%s runs %s", r.id, id)
	w.Header().Set("Fulmardoor-Response-Stamp", r.id+"."+id)
	if !strings.HasSuffix(in.URL.Path, "large") {
		_, _ = io.WriteString(w, "booked")
		return
	}
	w.Header().Set("Content-Length", fmt.Sprint(largeBytes))
	_, _ = io.WriteString(w, strings.Repeat("x", firstBytes))
	_ = http.NewResponseController(w).Flush()
	select {
	case <-time.After(restDelay):
	case <-in.Context().Done():
		r.record.note("%s: the connection of %s was closed before the answer was whole", r.id, id)
		return
	}
	_, _ = io.WriteString(w, strings.Repeat("x", largeBytes-firstBytes))
	r.record.note("%s has answered %s", r.id, id)
}

// largeAnswer stops a router as planned. Clients with kept connections send it a request late in its grace, which it passes on to a runner.
func largeAnswer(record *recorder, folder string, trouble bool) (broken bool, err error) {
	network := loopbackNetwork()
	platform, err := startStore(network + "1:0")
	if err != nil {
		return false, err
	}
	stopPlain, err := serveRunner(platform, network+"10", "i-ledger", service, "", &reportRunner{id: "i-ledger", record: record})
	if err != nil {
		return false, err
	}
	defer stopPlain()
	stopModel, err := serveRunner(platform, network+"11", "i-drafter", modelService, "decode", &streamRunner{id: "i-drafter", record: record})
	if err != nil {
		return false, err
	}
	defer stopModel()
	platform.put("op/config", configuration())
	stopped, err := startRouter(folder, "front-kariakoo-1", "kariakoo", network+"20", platform.address)
	if err != nil {
		return false, err
	}
	defer stopped.end()
	other, err := startRouter(folder, "front-msasani-1", "msasani", network+"21", platform.address)
	if err != nil {
		return false, err
	}
	defer other.end()
	for _, r := range []*router{stopped, other} {
		if err := r.waitReady(); err != nil {
			return false, err
		}
	}
	time.Sleep(2 * time.Second) // the list of runners is read

	var connections []net.Conn
	for i := range keptClients {
		connection, err := net.Dial("tcp", stopped.front)
		if err != nil {
			return false, err
		}
		defer func() { _ = connection.Close() }()
		if result := exchange(record, connection, fmt.Sprintf("first%d", i), "/book/small", ""); result != "200, whole" {
			return false, fmt.Errorf("the first request was answered: %s", result)
		}
		connections = append(connections, connection)
	}
	stream, err := net.Dial("tcp", stopped.front)
	if err != nil {
		return false, err
	}
	defer func() { _ = stream.Close() }()
	var waiting sync.WaitGroup
	waiting.Go(func() {
		exchange(record, stream, "stream", "/draft/1", "Fulmardoor-Model: m\r\nFulmardoor-Token-Count: 100,"+fmt.Sprint(streamEvents*tokensPerEvent)+
			"\r\nFulmardoor-Prefix-Hash: 5c1e07a2:100\r\n")
	})
	time.Sleep(300 * time.Millisecond)
	began := time.Now()
	if trouble {
		record.note("SIGTERM to %s", stopped.name)
		if err := stopped.command.Process.Signal(syscall.SIGTERM); err != nil {
			return false, err
		}
		time.AfterFunc(graceTime, func() { _ = stopped.command.Process.Kill() })
	}
	time.Sleep(time.Until(began.Add(sendAfterStop)))
	var cut atomic.Int64
	for i, connection := range connections {
		waiting.Go(func() {
			sent := time.Now()
			result := exchange(record, connection, fmt.Sprintf("second%d", i), "/book/large", "")
			if strings.HasSuffix(result, "cut") && time.Since(sent) < routeTimeout {
				cut.Add(1)
				record.note("BROKEN: second%d was sent %d ms after the SIGTERM and its answer was cut after %d ms (timeout_ms %d)", i,
					sent.Sub(began).Milliseconds(), time.Since(sent).Milliseconds(), routeTimeout.Milliseconds())
			}
		})
	}
	waiting.Wait()
	record.note("%d of %d answers were cut", cut.Load(), keptClients)
	return cut.Load() > 0, nil
}

// serveRunner starts a runner and announces it in the store.
func serveRunner(platform *store, host, id, service, stage string, handler http.Handler) (stop func(), err error) {
	listener, err := net.Listen("tcp", host+":0")
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = server.Serve(listener) }()
	entry := map[string]any{"service": service, "address": listener.Addr().String(), "zone": "kariakoo", "version": "v1", "slots": 64, "state": "ready", "cold_left_ms": 0, "seq": 1}
	if stage != "" {
		entry["stage"], entry["models"] = stage, []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}}
	}
	platform.put("servers/"+id, entry)
	return func() { _ = server.Close() }, nil
}

// exchange sends a request on a kept connection and says how it was answered.
func exchange(record *recorder, connection net.Conn, id, path, headers string) (result string) {
	record.note("%s is sent", id)
	defer func() { record.note("%s is answered: %s", id, result) }()
	_, err := fmt.Fprintf(connection, "POST %s HTTP/1.1\r\nHost: book.example\r\nFulmardoor-Request-Id: %s\r\nFulmardoor-Deadline-Ms: 14000\r\n%sContent-Length: 0\r\n\r\n", path, id, headers)
	if err != nil {
		return "the connection was closed before the request"
	}
	_ = connection.SetReadDeadline(time.Now().Add(14 * time.Second))
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		return "no answer"
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return fmt.Sprintf("%d, %d bytes, cut", response.StatusCode, len(body))
	}
	return fmt.Sprintf("%d, whole", response.StatusCode)
}
