package process

import (
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	configv1 "github.com/fulmardoor/fulmardoor/api/config/v1"
	"github.com/fulmardoor/fulmardoor/internal/ingress"
	"github.com/fulmardoor/fulmardoor/internal/transport"
)

const (
	// idleTimeout is how long a connection without a request is kept.
	idleTimeout = 2 * time.Minute
	// callerBodyTimeout is the longest time for the body of a caller's request whose route sets no shorter one.
	callerBodyTimeout = 5 * time.Minute
	// adminBodyTimeout is the longest time for the body of an administration request.
	adminBodyTimeout = 35 * time.Second
	// heapMemoryFraction is the part of the host's memory that the Go runtime may use. The rest is for the program itself and for bytes that were
	// received and not read.
	heapMemoryFraction = 0.6
	// bodyMemoryFraction and messageMemoryFraction are the default parts of the host's memory for bodies of requests and for messages of other
	// processes.
	bodyMemoryFraction, messageMemoryFraction = 0.3, 0.15
	// minMessageMemory is the least default for messages of other processes: half of it holds a call with the largest default body.
	minMessageMemory = 20 << 20
)

// ListenerLimits converts the settings of a listener.
func ListenerLimits(s *configv1.ListenerLimits) ingress.Limits {
	return ingress.Limits{
		MaxConnections: int(s.GetMaxConnections()), MaxPerAddress: int(s.GetMaxConnectionsPerAddress()), HeadMemory: s.GetHeadMemoryBytes(),
		ReceiveMemory: s.GetReceiveMemoryBytes(), MaxRequests: int(s.GetMaxRequests()),
		MaxHeadBytes: int(s.GetMaxHeadBytes()), MaxHeadLines: int(s.GetMaxHeadLines()), HeadTimeout: s.GetHeadTimeout().AsDuration(),
		BodyTimeout: s.GetBodyTimeout().AsDuration(), WriteTimeout: s.GetWriteTimeout().AsDuration(),
	}
}

// EntryGuards has the guards of the listeners of an entry process.
type EntryGuards struct{ Callers, Admin, Peers *ingress.Guard }

// NewEntryGuards returns the guards of an entry process. The error names the limits that the host cannot hold.
// refuse answers requests of callers beyond the limit.
func NewEntryGuards(s *configv1.EntrySettings, refuse http.Handler, registerer prometheus.Registerer, logger *zap.Logger) (EntryGuards, error) {
	callers := listenerSpec("callers", "caller_limits", s.GetCallerLimits())
	callers.Role, callers.RequestTimeout, callers.Refuse = ingress.Callers, callerBodyTimeout, refuse
	guards, err := hostGuards(registerer, logger, callers,
		listenerSpec("admin", "admin_limits", s.GetAdminLimits()), peerSpec(s.GetPeerLimits()))
	if err != nil {
		return EntryGuards{}, err
	}
	return EntryGuards{Callers: guards[0], Admin: guards[1], Peers: guards[2]}, nil
}

// SidecarGuards has the guards of the listeners of a sidecar process.
type SidecarGuards struct{ Admin, Peers *ingress.Guard }

// NewSidecarGuards returns the guards of a sidecar process. The error names the limits that the host cannot hold.
func NewSidecarGuards(s *configv1.SidecarSettings, registerer prometheus.Registerer, logger *zap.Logger) (SidecarGuards, error) {
	guards, err := hostGuards(registerer, logger,
		listenerSpec("admin", "admin_limits", s.GetAdminLimits()), peerSpec(s.GetPeerLimits()))
	if err != nil {
		return SidecarGuards{}, err
	}
	return SidecarGuards{Admin: guards[0], Peers: guards[1]}, nil
}

// listenerSpec returns the guard's description for a listener that is not for callers.
func listenerSpec(name, section string, s *configv1.ListenerLimits) ingress.Spec {
	return ingress.Spec{
		Name: name, IdleTimeout: idleTimeout, RequestTimeout: adminBodyTimeout, Listener: ingress.Listener{
			Role: ingress.Internal, Limits: ListenerLimits(s), Setting: func(key string) string { return "[" + section + "] " + key },
		},
	}
}

// peerSpec returns the guard's description for the listener for other processes.
func peerSpec(s *configv1.ListenerLimits) ingress.Spec {
	spec := listenerSpec("peers", "peer_limits", s)
	spec.Role = ingress.Peers
	return spec
}

// thisHost returns the size of the host. It is read once, because LimitMemory changes what ingress.ThisHost returns.
var thisHost = sync.OnceValues(ingress.ThisHost)

// LimitMemory makes the Go runtime collect garbage before the process uses all memory of its host.
func LimitMemory() error {
	host, err := thisHost()
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(float64(host.MemoryBytes) * heapMemoryFraction))
	return nil
}

// BodyMemory returns the memory in bytes for the bodies of callers' requests. The error names the setting that the host cannot hold.
func BodyMemory(s *configv1.CallerSettings) (int64, error) {
	host, err := thisHost()
	if err != nil {
		return 0, err
	}
	memory := s.GetBodyMemoryBytes()
	if memory == 0 {
		memory = shareOf(host, bodyMemoryFraction)
	}
	return memory, checkShare(host, memory, "[callers] body_memory_bytes", memory)
}

// PeerLimits returns the limits for other processes. The error names the setting that the host cannot hold.
func PeerLimits(s *configv1.PeerSettings) (*transport.Limits, error) {
	host, err := thisHost()
	if err != nil {
		return nil, err
	}
	messages, streams := s.GetMessageMemoryBytes(), int64(s.GetMaxStreams())
	if messages == 0 {
		messages = max(shareOf(host, messageMemoryFraction), min(minMessageMemory, host.MemoryBytes/2))
	}
	if streams == 0 {
		streams = shareOf(host, transport.StreamMemoryFraction) / transport.StreamMemory
	}
	if err := checkShare(host, messages, "[peers] message_memory_bytes", messages); err != nil {
		return nil, err
	}
	if err := checkShare(host, streams*transport.StreamMemory, "[peers] max_streams", streams); err != nil {
		return nil, err
	}
	return transport.NewLimits(int(streams), messages), nil
}

// shareOf returns a fraction of the memory of a host in bytes.
func shareOf(host ingress.Host, fraction float64) int64 {
	return int64(float64(host.MemoryBytes) * fraction)
}

// checkShare returns an error if a setting with this value needs more than half of the memory of the host.
func checkShare(host ingress.Host, need int64, setting string, value int64) error {
	if need <= host.MemoryBytes/2 {
		return nil
	}
	return errors.Errorf("%s is %d, which needs %d bytes; this process has %d bytes of memory and may use half of them for it", setting, value, need, host.MemoryBytes)
}

func hostGuards(registerer prometheus.Registerer, logger *zap.Logger, specs ...ingress.Spec) ([]*ingress.Guard, error) {
	host, err := thisHost()
	if err != nil {
		return nil, err
	}
	return ingress.Guards(host, registerer, logger, specs...)
}
