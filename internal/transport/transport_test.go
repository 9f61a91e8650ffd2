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

func pipeSessions(t *testing.T, server Handler) (client, accepted *Session, mux *memnet.Mux) {
	t.Helper()
	near, far := memnet.NewMuxPair("client", "server", time.Millisecond)
	result := make(chan *Session, 1)
	go func() {
		s, err := ServerMux(far, testOptions("server", server))
		if err != nil {
			t.Errorf("server: %v", err)
		}
		result <- s
	}()
	client, err := ClientMux(near, testOptions("client", nil))
	if err != nil {
		t.Fatalf("client: %v", err)
	}
	return client, <-result, near
}

// Guards against a call that loses its reply or leaves its stream open.
func TestCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		issuer := NewNonceIssuer(7)
		handler := HandlerFunc(func(_ context.Context, _ *Session, open *wirev1.StreamOpen, stream *Stream) {
			if open.GetNonce() == nil {
				t.Error("wrong kind of stream")
			}
			_ = stream.Send(&wirev1.NonceReply{Nonce: issuer.Issue()})
		})
		client, server, _ := pipeSessions(t, handler)
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

// Guards against a session that stays open for good when the connection goes silent without an error.
func TestSilentConnectionCloses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, server, mux := pipeSessions(t, nil)
		time.Sleep(time.Minute)
		mux.SetSilent(true)
		begin := time.Now()
		<-client.Done()
		<-server.Done()
		if took := time.Since(begin); took > (SilentIntervals+1)*DefaultHeartbeatInterval {
			t.Errorf("silent session closed after %v", took)
		}
	})
}

// Guards against a break in the real yamux path, which the tests in virtual time do not use.
func TestCallOverYamux(t *testing.T) {
	near, far := net.Pipe()
	handler := HandlerFunc(func(_ context.Context, _ *Session, _ *wirev1.StreamOpen, stream *Stream) {
		_ = stream.Send(&wirev1.NonceReply{Nonce: &wirev1.Nonce{Incarnation: 3}})
	})
	go func() { _, _ = Server(far, testOptions("server", handler)) }()
	client, err := Client(near, testOptions("client", nil))
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	reply := new(wirev1.NonceReply)
	open := &wirev1.StreamOpen{Kind: &wirev1.StreamOpen_Nonce{Nonce: &wirev1.NonceRequest{}}}
	if err := client.Call(t.Context(), open, reply); err != nil {
		t.Fatal(err)
	}
	if reply.GetNonce().GetIncarnation() != 3 {
		t.Errorf("got reply %v", reply)
	}
}

// Guards against work that starts with rights checked too long ago or by an earlier incarnation.
func TestNonceFreshness(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		issuer := NewNonceIssuer(1)
		nonce := issuer.Issue()
		time.Sleep(FenceWindow)
		if !issuer.Fresh(nonce) {
			t.Error("nonce refused within the window")
		}
		time.Sleep(2 * time.Millisecond)
		if issuer.Fresh(nonce) {
			t.Error("nonce accepted past the window")
		}
		if NewNonceIssuer(2).Fresh(issuer.Issue()) {
			t.Error("nonce of another incarnation accepted")
		}
	})
}
