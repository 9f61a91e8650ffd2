package transport

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/transport/memnet"
)

func testOptions(process string, handler Handler) *Options {
	hello := &wirev1.Hello{Process: process, Incarnation: NewIncarnation(), ProtocolVersion: ProtocolVersion}
	return &Options{Hello: hello, Handler: handler, Logger: zap.NewNop()}
}

func connectedSessions(t *testing.T, server Handler) (client, accepted *Session, mux *memnet.Mux) {
	t.Helper()
	local, remote := memnet.NewMuxPair("client", "server", time.Millisecond)
	client, accepted = startSessions(t,
		func() (*Session, error) { return ClientMux(local, testOptions("client", nil)) },
		func() (*Session, error) { return ServerMux(remote, testOptions("server", server)) })
	return client, accepted, local
}

// yamuxSessions returns the sessions of the two ends of a connection. They are closed at the end of the test.
func yamuxSessions(t *testing.T, local, remote net.Conn, server *Options) (client, accepted *Session) {
	t.Helper()
	client, accepted = startSessions(t,
		func() (*Session, error) { return Client(local, testOptions("client", nil)) },
		func() (*Session, error) { return Server(remote, server) })
	t.Cleanup(client.Close)
	t.Cleanup(accepted.Close)
	return client, accepted
}

func startSessions(t *testing.T, dial, accept func() (*Session, error)) (client, accepted *Session) {
	t.Helper()
	result := make(chan *Session, 1)
	go func() {
		s, err := accept()
		if err != nil {
			t.Errorf("server: %v", err)
		}
		result <- s
	}()
	client, err := dial()
	if err != nil {
		t.Fatalf("client: %v", err)
	}
	if accepted = <-result; accepted == nil {
		t.FailNow()
	}
	return client, accepted
}

// Guards against a call that loses its reply, or that sends a request of the wrong kind.
func TestCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		issuer := NewNonceIssuer(7)
		handler := HandlerFunc(func(_ context.Context, _ *Session, open *wirev1.StreamOpen, stream *Stream) {
			if open.GetNonce() == nil {
				t.Error("wrong kind of stream")
			}
			_ = stream.Send(&wirev1.NonceReply{Nonce: issuer.Issue()})
		})
		client, server, _ := connectedSessions(t, handler)
		defer server.Close()
		defer client.Close()
		reply := new(wirev1.NonceReply)
		open := &wirev1.StreamOpen{Kind: &wirev1.StreamOpen_Nonce{Nonce: &wirev1.NonceRequest{}}}
		if err := client.Call(t.Context(), open, reply); err != nil {
			t.Fatal(err)
		}
		if !issuer.Fresh(reply.GetNonce()) {
			t.Error("nonce is not fresh")
		}
	})
}

// Guards against a session that stays open forever when the connection stops delivering data without an error.
func TestSessionClosesOnHeartbeatTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, server, mux := connectedSessions(t, nil)
		time.Sleep(time.Minute)
		mux.SetPaused(true)
		start := time.Now()
		<-client.Done()
		<-server.Done()
		if elapsed := time.Since(start); elapsed > (HeartbeatTimeoutIntervals+1)*DefaultHeartbeatInterval {
			t.Errorf("session without heartbeats closed after %v", elapsed)
		}
	})
}

// Guards against a failure of sessions over yamux, which the tests in virtual time do not use.
func TestCallOverYamux(t *testing.T) {
	local, remote := net.Pipe()
	handler := HandlerFunc(func(_ context.Context, _ *Session, _ *wirev1.StreamOpen, stream *Stream) {
		_ = stream.Send(&wirev1.NonceReply{Nonce: &wirev1.Nonce{Incarnation: 3}})
	})
	client, _ := yamuxSessions(t, local, remote, testOptions("server", handler))
	reply := new(wirev1.NonceReply)
	open := &wirev1.StreamOpen{Kind: &wirev1.StreamOpen_Nonce{Nonce: &wirev1.NonceRequest{}}}
	if err := client.Call(t.Context(), open, reply); err != nil {
		t.Fatal(err)
	}
	if reply.GetNonce().GetIncarnation() != 3 {
		t.Errorf("got reply %v", reply)
	}
}

// Guards against a nonce that is accepted although it is too old or was issued by another incarnation. Work would then
// start on permissions that were checked too long ago or before a restart of the process.
func TestNonceFreshness(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		issuer := NewNonceIssuer(1)
		nonce := issuer.Issue()
		time.Sleep(FenceWindow)
		if !issuer.Fresh(nonce) {
			t.Error("nonce refused within FenceWindow")
		}
		time.Sleep(2 * time.Millisecond)
		if issuer.Fresh(nonce) {
			t.Error("nonce accepted after FenceWindow")
		}
		if NewNonceIssuer(2).Fresh(issuer.Issue()) {
			t.Error("nonce of another incarnation accepted")
		}
	})
}
