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

type memnetConnector struct{ network *memnet.Network }

func (c memnetConnector) Connect(ctx context.Context, address string) (transport.Mux, error) {
	return c.network.Dial(ctx, "self", address)
}

// Guards against an entry process that counts as removed only because it cannot be reached, and against one that never
// does although the host list no longer names it.
func TestRemovalRequiresHostList(t *testing.T) {
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
			Hello: hello("self"), Logger: zap.NewNop(), OnOpen: func(s *transport.Session) { table.onSessionOpen(s) },
		}
		table = newMemberTable(hello("self"), memnetConnector{network}, opts, zap.NewNop())
		defer table.close()
		table.applyHostList([]hostlist.Host{{Address: "other", Role: "entry"}, {Address: "self", Role: "entry"}})
		time.Sleep(time.Second)
		if len(table.connected()) != 1 {
			t.Fatal("no session with the listed process")
		}
		network.Kill("other")
		time.Sleep(10 * time.Second)
		if table.removedByPlatform("other") {
			t.Error("a listed process counts as removed")
		}
		table.addHosts(nil)
		if table.removedByPlatform("other") {
			t.Error("a process that an incomplete list does not name counts as removed")
		}
		table.applyHostList(nil)
		if !table.removedByPlatform("other") {
			t.Error("a process that the list no longer names does not count as removed")
		}
	})
}
