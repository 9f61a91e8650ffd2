package platform

import (
	"net/http"
	"sync"
	"time"
)

// TargetGroup is one entry of the Prometheus HTTP service-discovery format.
type TargetGroup struct {
	Targets []string          `json:"targets"`
	Labels  map[string]string `json:"labels,omitempty"`
}

// hostList makes each version of the host list visible after a lag.
type hostList struct {
	lag time.Duration

	mu sync.Mutex
	// versions is ordered by time. The first version is the visible one, the others are still within the lag.
	versions []hostVersion
}

type hostVersion struct {
	setAt  time.Time
	groups []TargetGroup
}

func newHostList(lag time.Duration) *hostList {
	return &hostList{lag: lag, versions: []hostVersion{{groups: []TargetGroup{}}}}
}

func (l *hostList) set(groups []TargetGroup) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advanceLocked()
	l.versions = append(l.versions, hostVersion{setAt: time.Now(), groups: groups})
}

func (l *hostList) get() []TargetGroup {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advanceLocked()
	return l.versions[0].groups
}

// advanceLocked drops each version whose successor has become visible.
func (l *hostList) advanceLocked() {
	for len(l.versions) > 1 && time.Since(l.versions[1].setAt) >= l.lag {
		l.versions = l.versions[1:]
	}
}

func (p *Platform) getHosts(w http.ResponseWriter, _ *http.Request) {
	p.writeJSON(w, p.hosts.get())
}

func (p *Platform) putHosts(w http.ResponseWriter, r *http.Request) {
	var groups []TargetGroup
	if !p.decode(w, r, &groups) {
		return
	}
	p.SetHosts(groups)
	w.WriteHeader(http.StatusNoContent)
}

// SetHosts replaces the host list, as PUT /hosts does. The new list becomes visible after the lag.
func (p *Platform) SetHosts(groups []TargetGroup) {
	if groups == nil {
		// The format requires an empty JSON array rather than null.
		groups = []TargetGroup{}
	}
	p.hosts.set(groups)
}
