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

// hostList shows each version of the list after a lag.
type hostList struct {
	lag time.Duration

	mu sync.Mutex
	// versions are ordered by time; the first one is the version shown last.
	versions []hostVersion
}

type hostVersion struct {
	set    time.Time
	groups []TargetGroup
}

func newHostList(lag time.Duration) *hostList {
	return &hostList{lag: lag, versions: []hostVersion{{groups: []TargetGroup{}}}}
}

func (l *hostList) set(groups []TargetGroup) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advanceLocked()
	l.versions = append(l.versions, hostVersion{set: time.Now(), groups: groups})
}

func (l *hostList) get() []TargetGroup {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advanceLocked()
	return l.versions[0].groups
}

// advanceLocked drops the versions that are no longer shown.
func (l *hostList) advanceLocked() {
	for len(l.versions) > 1 && time.Since(l.versions[1].set) >= l.lag {
		l.versions = l.versions[1:]
	}
}

func (p *Platform) getHosts(w http.ResponseWriter, _ *http.Request) {
	p.answer(w, p.hosts.get())
}

func (p *Platform) putHosts(w http.ResponseWriter, r *http.Request) {
	var groups []TargetGroup
	if !p.decode(w, r, &groups) {
		return
	}
	p.SetHosts(groups)
	w.WriteHeader(http.StatusNoContent)
}

// SetHosts changes the host list, as PUT /hosts does. The change is seen after the lag.
func (p *Platform) SetHosts(groups []TargetGroup) {
	if groups == nil {
		// The format has no null list.
		groups = []TargetGroup{}
	}
	p.hosts.set(groups)
}
