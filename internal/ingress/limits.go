package ingress

import (
	"time"

	"github.com/go-faster/errors"
)

// Limits bound what the clients of one listener use. Zero stands for the default, which Resolve computes.
type Limits struct {
	// MaxConnections and MaxPerAddress limit the open connections, of all clients and of one source address.
	MaxConnections, MaxPerAddress int
	// MaxRequests limits the requests that are served at the same time.
	MaxRequests int
	// HeadMemory is the memory in bytes for the request heads of all connections.
	HeadMemory int64
	// ReceiveMemory is the memory in bytes for what all connections have received and the process has not read.
	ReceiveMemory int64
	// MaxHeadBytes and MaxHeadLines limit one request head.
	MaxHeadBytes, MaxHeadLines int
	// HeadTimeout is the time until a head is complete, BodyTimeout the time until the first and each next part of a body, and WriteTimeout the
	// time until the client takes a part of an answer.
	HeadTimeout, BodyTimeout, WriteTimeout time.Duration
}

// The names of the settings of Limits.
const (
	KeyMaxConnections = "max_connections"
	KeyMaxPerAddress  = "max_connections_per_address"
	KeyMaxRequests    = "max_requests"
	KeyHeadMemory     = "head_memory_bytes"
	KeyReceiveMemory  = "receive_memory_bytes"
	KeyMaxHeadBytes   = "max_head_bytes"
	KeyMaxHeadLines   = "max_head_lines"
	KeyHeadTimeout    = "head_timeout"
	KeyBodyTimeout    = "body_timeout"
	KeyWriteTimeout   = "write_timeout"
)

// Role distinguishes the listener for callers, whose defaults follow from the size of the host, from all others.
type Role int

// The roles of listeners.
const (
	Callers Role = iota
	// Internal is for scrapers, operators and load balancers.
	Internal
	// Peers is for sessions of other processes.
	Peers
)

const (
	// connectionMemory is what net/http uses for an open connection: goroutine, two buffers of 4 KiB and descriptors of the runtime.
	connectionMemory = 16 << 10
	// requestMemory is what a request uses besides its connection, without a large head or body.
	requestMemory = 40 << 10

	callerRequestShare    = 5   // requests of callers use at most a fifth of the memory
	callerMemoryShare     = 5   // connections of callers use at most a fifth of the memory
	callerHeadMemoryShare = 10  // heads of callers use at most a tenth of the memory
	otherHeadMemoryShare  = 100 // heads of scrapers, operators and peers are small
	callerReceiveShare    = 7   // bytes that callers sent and that were not read use at most a seventh of the memory
	otherReceiveShare     = 50
	otherConnections      = 256
	// sessionMemory is what a connection of another process uses, with its goroutines; such connections use at most a tenth of the memory.
	sessionMemory      = 64 << 10
	sessionMemoryShare = 10
	otherRequests      = 64
	// otherDescriptorShare keeps the sum of all listeners, at most four in a process, below the reserve.
	otherDescriptorShare = 8
	// reservedShare is the part of the descriptors that no client may use: upstreams, peers and the store need it.
	reservedShare = 8

	defaultMaxHeadBytes = 64 << 10
	// defaultMaxHeadLines is the number of non-empty lines, of four bytes, that fit in defaultMaxHeadBytes.
	defaultMaxHeadLines = defaultMaxHeadBytes / 4
	defaultHeadTimeout  = 10 * time.Second
	defaultBodyTimeout  = 10 * time.Second
	defaultWriteTimeout = 35 * time.Second
)

// Host is the size of the host as far as the limits depend on it.
type Host struct {
	MemoryBytes int64
	Descriptors int
}

// Listener is one listener's limits while they are resolved and checked.
type Listener struct {
	Role   Role
	Limits Limits
	// Setting returns the name by which an operator knows a key, for error messages.
	Setting func(key string) string
}

// Resolve returns the limits of all listeners of a process with their defaults. The error names the settings that this host cannot hold.
func Resolve(host Host, listeners ...Listener) ([]Limits, error) {
	var faults []error
	resolved := make([]Limits, len(listeners))
	for i, listener := range listeners {
		faults = append(faults, checkSigns(listener)...)
		resolved[i] = withDefaults(listener.Role, listener.Limits, host)
		listener.Limits = resolved[i]
		faults = append(faults, checkListener(listener, host)...)
		listeners[i] = listener
	}
	if len(faults) == 0 {
		faults = checkSum(host, listeners)
	}
	return resolved, errors.Join(faults...)
}

func withDefaults(role Role, l Limits, host Host) Limits {
	connections := min(host.Descriptors/2, int(host.MemoryBytes/callerMemoryShare/connectionMemory))
	headMemory, receiveMemory := host.MemoryBytes/callerHeadMemoryShare, host.MemoryBytes/callerReceiveShare
	requests := int(host.MemoryBytes / callerRequestShare / requestMemory)
	if role != Callers {
		requests = otherRequests
		connections = min(connections, otherConnections, host.Descriptors/otherDescriptorShare)
		headMemory, receiveMemory = host.MemoryBytes/otherHeadMemoryShare, host.MemoryBytes/otherReceiveShare
	}
	if role == Peers {
		connections = min(connections, int(host.MemoryBytes/sessionMemoryShare/sessionMemory))
	}
	setDefault(&l.MaxConnections, max(1, connections))
	setDefault(&l.MaxPerAddress, l.MaxConnections)
	setDefault(&l.MaxRequests, max(1, min(requests, l.MaxConnections)))
	setDefault(&l.HeadMemory, headMemory)
	setDefault(&l.ReceiveMemory, max(receiveMemory, leastReceiveMemory(l.MaxConnections)))
	setDefault(&l.MaxHeadBytes, defaultMaxHeadBytes)
	setDefault(&l.MaxHeadLines, defaultMaxHeadLines)
	setDefault(&l.HeadTimeout, defaultHeadTimeout)
	setDefault(&l.BodyTimeout, defaultBodyTimeout)
	setDefault(&l.WriteTimeout, defaultWriteTimeout)
	return l
}

func setDefault[T comparable](value *T, byDefault T) {
	var zero T
	if *value == zero {
		*value = byDefault
	}
}

// checkSigns returns a fault for each negative setting.
func checkSigns(listener Listener) (faults []error) {
	l := listener.Limits
	for _, setting := range []struct {
		key      string
		negative bool
	}{
		{KeyMaxConnections, l.MaxConnections < 0}, {KeyMaxPerAddress, l.MaxPerAddress < 0}, {KeyHeadMemory, l.HeadMemory < 0},
		{KeyMaxRequests, l.MaxRequests < 0},
		{KeyReceiveMemory, l.ReceiveMemory < 0},
		{KeyMaxHeadBytes, l.MaxHeadBytes < 0}, {KeyMaxHeadLines, l.MaxHeadLines < 0}, {KeyHeadTimeout, l.HeadTimeout < 0},
		{KeyBodyTimeout, l.BodyTimeout < 0}, {KeyWriteTimeout, l.WriteTimeout < 0},
	} {
		if setting.negative {
			faults = append(faults, errors.Errorf("%s is negative", listener.Setting(setting.key)))
		}
	}
	return faults
}

// checkListener returns the faults of resolved limits that concern one listener.
func checkListener(listener Listener, host Host) (faults []error) {
	l := listener.Limits
	if l.MaxConnections > host.Descriptors/2 {
		faults = append(faults, errors.Errorf("%s is %d; at most half of the %d descriptors of this process may be used by one listener",
			listener.Setting(KeyMaxConnections), l.MaxConnections, host.Descriptors))
	}
	if need := int64(l.MaxConnections) * connectionMemory; need > host.MemoryBytes/2 {
		faults = append(faults, errors.Errorf("%s is %d, which needs %d bytes; this process has %d bytes of memory and may use half of them for connections",
			listener.Setting(KeyMaxConnections), l.MaxConnections, need, host.MemoryBytes))
	}
	if l.MaxPerAddress > l.MaxConnections {
		faults = append(faults, errors.Errorf("%s is %d, more than the %d connections of %s",
			listener.Setting(KeyMaxPerAddress), l.MaxPerAddress, l.MaxConnections, listener.Setting(KeyMaxConnections)))
	}
	if need := int64(l.MaxRequests) * requestMemory; need > host.MemoryBytes/2 {
		faults = append(faults, errors.Errorf("%s is %d, which needs %d bytes; this process has %d bytes of memory and may use half of them for requests",
			listener.Setting(KeyMaxRequests), l.MaxRequests, need, host.MemoryBytes))
	}
	if l.HeadMemory > host.MemoryBytes/2 {
		faults = append(faults, errors.Errorf("%s is %d; this process has %d bytes of memory and may use half of them for request heads",
			listener.Setting(KeyHeadMemory), l.HeadMemory, host.MemoryBytes))
	}
	if least := leastReceiveMemory(l.MaxConnections); l.ReceiveMemory < least {
		faults = append(faults, errors.Errorf("%s is %d; the receive buffers of %d connections need %d",
			listener.Setting(KeyReceiveMemory), l.ReceiveMemory, l.MaxConnections, least))
	}
	if l.ReceiveMemory > host.MemoryBytes/2 {
		faults = append(faults, errors.Errorf("%s is %d; this process has %d bytes of memory and may use half of them for received bytes",
			listener.Setting(KeyReceiveMemory), l.ReceiveMemory, host.MemoryBytes))
	}
	return faults
}

// checkSum returns a fault if the listeners together leave too few descriptors for upstreams, peers and the store.
func checkSum(host Host, listeners []Listener) []error {
	sum, largest := 0, 0
	for i, listener := range listeners {
		sum += listener.Limits.MaxConnections
		if listener.Limits.MaxConnections > listeners[largest].Limits.MaxConnections {
			largest = i
		}
	}
	free := host.Descriptors - host.Descriptors/reservedShare
	if sum <= free {
		return nil
	}
	return []error{errors.Errorf("%s: the listeners may have %d connections together; %d of the %d descriptors of this process are for clients",
		listeners[largest].Setting(KeyMaxConnections), sum, free, host.Descriptors)}
}
