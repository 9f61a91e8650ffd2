package entry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/hostlist"
	"github.com/fulmardoor/fulmardoor/internal/transport"
	"github.com/fulmardoor/fulmardoor/internal/transport/memnet"
)

type testConnector struct{ network *memnet.Network }

func (c testConnector) Connect(ctx context.Context, address string) (transport.Mux, error) {
	return c.network.Dial(ctx, "self", address)
}

// Guards against an entry process that counts as gone because it cannot be reached, and against one that never does
// although the platform took its host away.
func TestGoneNeedsTheHostList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.NewNetwork(time.Millisecond)
		hello := func(name string) *wirev1.Hello {
			return &wirev1.Hello{Process: name, Address: name, ProtocolVersion: transport.ProtocolVersion}
		}
		listener := network.Listen("other")
		go func() {
			for {
				mux, err := listener.Accept()
				if err != nil {
					return
				}
				_, _ = transport.ServerMux(mux, &transport.Options{Hello: hello("other"), Logger: zap.NewNop()})
			}
		}()
		var table *memberTable
		opts := &transport.Options{
			Hello: hello("self"), Logger: zap.NewNop(), OnOpen: func(s *transport.Session) { table.opened(s) },
		}
		table = newMemberTable(hello("self"), testConnector{network}, opts, zap.NewNop())
		defer table.close()
		table.applyList([]hostlist.Host{{Address: "other", Role: "entry"}, {Address: "self", Role: "entry"}})
		time.Sleep(time.Second)
		if len(table.alive()) != 1 {
			t.Fatal("no session with the listed process")
		}
		network.Kill("other")
		time.Sleep(10 * time.Second)
		if table.gone("other") {
			t.Error("a listed process counts as gone")
		}
		table.applyList(nil)
		if !table.gone("other") {
			t.Error("a process that the list no longer names does not count as gone")
		}
	})
}
