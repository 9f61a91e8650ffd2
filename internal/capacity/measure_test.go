package capacity

import (
	"net"
	"runtime"
	"slices"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// segmentBytes is the Ethernet, IPv4 and TCP overhead of one segment with timestamps.
const segmentBytes = 66

// cpuTime returns the processor time of this process, user and system.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err) // RUSAGE_SELF is always valid
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// memoryInUse returns the bytes of live heap and stacks after collections.
func memoryInUse() int64 {
	var stats runtime.MemStats
	for range 2 {
		runtime.GC()
	}
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc + stats.StackInuse)
}

// traffic counts what connections carry.
type traffic struct{ sent, received, writes atomic.Int64 }

// onWire returns the bytes sent with the overhead of one segment for each write.
func (t *traffic) onWire() int64 { return t.sent.Load() + segmentBytes*t.writes.Load() }

func (t *traffic) reset() {
	t.sent.Store(0)
	t.received.Store(0)
	t.writes.Store(0)
}

// countedConn counts a connection's traffic; each Write is one system call and at least one segment.
type countedConn struct {
	net.Conn
	traffic *traffic
}

func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.received.Add(int64(n))
	return n, err
}

func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.sent.Add(int64(n))
	c.traffic.writes.Add(1)
	return n, err
}

// countedListener counts the traffic of accepted connections.
type countedListener struct {
	net.Listener
	traffic *traffic
}

func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{conn, l.traffic}, nil
}

func listen(b *testing.B) net.Listener {
	b.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = l.Close() })
	return l
}

// eventually waits until ok or fails the benchmark.
func eventually(b *testing.B, what string, ok func() bool) {
	b.Helper()
	for begin := time.Now(); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Since(begin) > 20*time.Second {
			b.Fatalf("%s: not within 20 s", what)
		}
	}
}

// percentile returns a quantile of durations in microseconds.
func percentile(samples []time.Duration, q float64) float64 {
	if len(samples) == 0 {
		return 0
	}
	slices.Sort(samples)
	return float64(samples[int(q*float64(len(samples)-1))]) / float64(time.Microsecond)
}

// per reports a metric divided by a count.
func per(b *testing.B, total float64, count int, unit string) {
	b.ReportMetric(total/float64(max(count, 1)), unit)
}
