package ingress

import (
	"net/netip"
	"testing"
)

// crowd adds connections from an address, numbered as in 10.0.0.N, and returns their places.
func crowd(t *testing.T, tab *table, host byte, connections int) []*place {
	t.Helper()
	places := make([]*place, connections)
	for i := range places {
		places[i] = &place{address: netip.AddrFrom4([4]byte{10, 0, 0, host})}
		if yields, cause := tab.add(places[i]); yields != nil || cause != "" {
			t.Fatalf("connection %d of host %d: yields %v, cause %q", i, host, yields, cause)
		}
	}
	return places
}

func newcomer(host byte) *place { return &place{address: netip.AddrFrom4([4]byte{10, 0, 0, host})} }

// Guards against a crowd of one address that takes the connections of others: its own newest connection without a head must yield.
func TestNewestOfLargestAddressYields(t *testing.T) {
	tab := newTable(10, 10)
	large := crowd(t, tab, 1, 7)
	crowd(t, tab, 2, 3)
	tab.headComplete(large[6])
	yields, cause := tab.add(newcomer(3))
	if cause != "" || yields != large[5] {
		t.Fatalf("yields %v, cause %q", yields, cause)
	}
	if tab.count() != 10 {
		t.Errorf("%d connections", tab.count())
	}
	tab.remove(large[5]) // closed later; must not be counted twice
	if tab.count() != 10 {
		t.Errorf("%d connections after the connection that yielded was closed", tab.count())
	}
	yields, _ = tab.add(newcomer(3))
	if yields != large[4] {
		t.Error("the next newest connection did not yield")
	}
}

// Guards against a caller that loses its connection because the address that has most of them, such as a load balancer, opens another one.
func TestSmallAddressDoesNotYieldToLargeOne(t *testing.T) {
	tab := newTable(6, 6)
	for _, p := range crowd(t, tab, 1, 5) {
		tab.headComplete(p)
	}
	crowd(t, tab, 2, 1)
	if yields, cause := tab.add(newcomer(1)); yields != nil || cause != CauseConnections {
		t.Fatalf("yields %v, cause %q", yields, cause)
	}
	if tab.count() != 6 {
		t.Errorf("%d connections", tab.count())
	}
}

// Guards against a new caller that is refused although an address larger than its own has connections without a head, only because another
// address, whose connections all have heads, is larger still.
func TestAddressWithCompleteHeadsIsPassedOver(t *testing.T) {
	tab := newTable(10, 10)
	for _, p := range crowd(t, tab, 1, 6) {
		tab.headComplete(p)
	}
	idle := crowd(t, tab, 2, 4)
	if yields, cause := tab.add(newcomer(3)); cause != "" || yields != idle[3] {
		t.Fatalf("yields %v, cause %q", yields, cause)
	}
}

// Guards against connections that are closed although all of them have sent heads.
func TestNewConnectionIsRefusedIfNoneYields(t *testing.T) {
	tab := newTable(3, 3)
	for _, p := range crowd(t, tab, 1, 3) {
		tab.headComplete(p)
	}
	if yields, cause := tab.add(newcomer(2)); yields != nil || cause != CauseConnections {
		t.Fatalf("yields %v, cause %q", yields, cause)
	}
}

// Guards against an address that exceeds its own limit, and one that does not get its connections back after it closed some.
func TestConnectionsOfOneAddress(t *testing.T) {
	tab := newTable(10, 2)
	places := crowd(t, tab, 1, 2)
	if yields, cause := tab.add(newcomer(1)); yields != nil || cause != CauseSourceConnections {
		t.Fatalf("yields %v, cause %q", yields, cause)
	}
	crowd(t, tab, 2, 1)
	tab.remove(places[0])
	tab.remove(places[0])
	crowd(t, tab, 1, 1)
	if tab.count() != 3 {
		t.Errorf("%d connections", tab.count())
	}
}

// Guards against a limit of one address, by default as large as that of all, that keeps out new callers behind a load balancer.
func TestOnlyAddressYieldsToItself(t *testing.T) {
	tab := newTable(3, 3)
	places := crowd(t, tab, 1, 3)
	if yields, cause := tab.add(newcomer(1)); cause != "" || yields != places[2] {
		t.Fatalf("yields %v, cause %q", yields, cause)
	}
	if tab.count() != 3 {
		t.Errorf("%d connections", tab.count())
	}
}

// Guards against an address above its own limit for which a connection of another one is closed.
func TestAddressAtItsLimitMakesNoOtherYield(t *testing.T) {
	tab := newTable(5, 3)
	for _, p := range crowd(t, tab, 1, 2) {
		tab.headComplete(p)
	}
	crowd(t, tab, 2, 3)
	tab.maxPerAddress = 2
	if yields, cause := tab.add(newcomer(1)); yields != nil || cause != CauseSourceConnections {
		t.Fatalf("yields %v, cause %q", yields, cause)
	}
	if tab.count() != 5 {
		t.Errorf("%d connections", tab.count())
	}
}

// Guards against a place that is counted at an address of which the only connection has just yielded.
func TestOnlyConnectionOfAddressYields(t *testing.T) {
	tab := newTable(1, 1)
	crowd(t, tab, 1, 1)
	second := newcomer(2)
	if _, cause := tab.add(second); cause != "" {
		t.Fatal(cause)
	}
	tab.remove(second)
	if tab.count() != 0 || len(tab.sources) != 0 {
		t.Errorf("%d connections, %d addresses", tab.count(), len(tab.sources))
	}
}
