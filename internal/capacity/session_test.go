package capacity

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/transport"
)

const (
	// beatInterval is shorter than in use, so that a short window has many heartbeats.
	beatInterval = 100 * time.Millisecond
	beatWindow   = time.Second
)

func hello(process string, role wirev1.Role) *wirev1.Hello {
	return &wirev1.Hello{
		Role: role, Process: process, Host: "host-of-" + process, DataCentre: "Kariakoo",
		Incarnation: transport.NewIncarnation(), ProtocolVersion: transport.ProtocolVersion,
	}
}

// sidecarBeat is a heartbeat with all fields that a model sidecar sets.
func sidecarBeat(issuer *transport.NonceIssuer) *wirev1.Heartbeat {
	return &wirev1.Heartbeat{
		Nonce: issuer.Issue(), ConfigRevision: 123456, ConfigAgeMs: 1200,
		Load: &wirev1.Load{
			Upstream: "drafter-decode-0123", Pool: "drafter", EngineRole: wirev1.EngineRole_ENGINE_ROLE_DECODE,
			Accepting: true, Places: 20, PlacesFree: 3, QueueMs: 120, PrefillTokensPerSecond: 19876.5, TokenGapMs: 27.3,
		},
	}
}

// BenchmarkSession gives the cost of one session between an entry and a sidecar over loopback TCP with yamux: bytes and
// segments of the heartbeats of both sides, processor time of both ends, and memory of both ends. The slopes are per
// session and per pair of heartbeats, one in each direction.
func BenchmarkSession(b *testing.B) {
	for _, count := range []int{10, 50, 200} {
		b.Run(fmt.Sprintf("sessions=%d", count), func(b *testing.B) { benchmarkSessions(b, count) })
	}
}

func benchmarkSessions(b *testing.B, count int) {
	var out, in traffic
	var beats atomic.Int64
	issuer := transport.NewNonceIssuer(1)
	near := &transport.Options{
		Hello: hello("entry-0", wirev1.Role_ROLE_ENTRY), HeartbeatInterval: beatInterval, Logger: zap.NewNop(),
		Heartbeat:   func() *wirev1.Heartbeat { return &wirev1.Heartbeat{ConfigRevision: 123456, ConfigAgeMs: 1200} },
		OnHeartbeat: func(*transport.Session, *wirev1.Heartbeat) { beats.Add(1) },
	}
	far := &transport.Options{
		Hello: hello("sidecar-0", wirev1.Role_ROLE_SIDECAR), HeartbeatInterval: beatInterval, Logger: zap.NewNop(),
		Heartbeat: func() *wirev1.Heartbeat { return sidecarBeat(issuer) },
	}
	listener := listen(b)
	go func() { _ = transport.Serve(countedListener{listener, &in}, far) }()
	before := memoryInUse()
	dialer := countedDialer{&out}
	peers := make([]*transport.Peer, count)
	for i := range peers {
		peers[i] = transport.NewPeer(listener.Addr().String(), transport.TCP{Dialer: dialer}, near)
		defer peers[i].Close()
	}
	eventually(b, "sessions", func() bool {
		for _, p := range peers {
			if p.Session() == nil {
				return false
			}
		}
		return true
	})
	time.Sleep(2 * beatInterval)
	memory := memoryInUse() - before
	out.reset()
	in.reset()
	beats.Store(0)
	cpu := cpuTime()
	for b.Loop() {
		time.Sleep(beatWindow)
	}
	spent, pairs := cpuTime()-cpu, int(beats.Load())
	b.ReportMetric(0, "ns/op")
	per(b, float64(memory), count, "B/session")
	per(b, float64(spent.Nanoseconds()), pairs, "cpu-ns/beats")
	per(b, float64(out.sent.Load()), pairs, "entry-B/beat")
	per(b, float64(in.sent.Load()), pairs, "sidecar-B/beat")
	per(b, float64(out.writes.Load()+in.writes.Load()), pairs, "segments/beats")
	per(b, float64(out.onWire()+in.onWire()), pairs, "wire-B/beats")
}

// countedDialer counts the traffic of dialled connections.
type countedDialer struct{ traffic *traffic }

func (d countedDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := new(net.Dialer).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return countedConn{conn, d.traffic}, nil
}
