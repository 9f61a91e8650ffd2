package lab

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Machine is a front machine with one router process.
type Machine struct {
	Name, IP, Zone string
	Front, Ready   string
	Settings       string
	// Env has variables that stand for the machine, such as the number of cores that it shows.
	Env       []string
	root, dir string
	cmd       *exec.Cmd
	done      chan struct{}
	client    *http.Client
	log       *os.File
	mu        sync.Mutex // guards the fields below
	ended     bool
	// kills counts how often the platform ended the router for its memory, last at killedAt.
	kills    int64
	killedAt time.Time
}

// command is the "run" of the role in deploy/system.toml.
func command(root string) ([]string, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy/system.toml"))
	if err != nil {
		return nil, err
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(strings.TrimSpace(line), "run = "); ok {
			return strings.Fields(strings.Trim(rest, `"`)), nil
		}
	}
	return nil, fmt.Errorf("deploy/system.toml has no run")
}

// FreePort returns a port that is free at an address now.
func FreePort(ip string) int {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		panic(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).Port
}

// NewMachine returns a machine whose settings are like those of the users' small deployments.
func NewMachine(root, dir, name, ip, zone, storeAddress string, overrides map[string]string) (*Machine, error) {
	port := FreePort(ip)
	m := &Machine{Name: name, IP: ip, Zone: zone, root: root, dir: dir, Front: fmt.Sprintf("%s:%d", ip, FreePort(ip)), Ready: fmt.Sprintf("%s:%d", ip, FreePort(ip))}
	lines := []string{
		"node_name=" + name, "role=router", "machine_class=front", "serves=front", "ip=" + ip, "zone=" + zone, "region=pwani",
		"listen.front=" + m.Front, "listen.ready=" + m.Ready, fmt.Sprintf("port_range=%d,%d", port, port), "bootstrap=true",
		"limits.cpu_share=0.304", "limits.cores=1", "limits.memory_mb=134", "limits.max_fds=4100", "limits.link_mbps=1000.0", "limits.disk_mb=0",
		"discovery=platform", "entry=vip", "heartbeat_ms=1200", "contracts=base,drain,config,cost,retry,recover,split,stream,engine,tenants,quota,platform",
		"bounds.contact_ms=3000", "bounds.drain_ms=2000", "bounds.grace_s=8", "bounds.config_apply_ms=2000", "bounds.rollback_slack_ms=250",
		"bounds.budget_ratio=0.2", "bounds.budget_window_s=10", "bounds.retry_slack=56", "bounds.quota_window_s=8", "bounds.quota_over=0.1",
		"bounds.quota_slack=190000", "bounds.recover_s=12", "bounds.lease_ms=3000", "bounds.thaw_ms=300",
		"platform.address=" + storeAddress, "platform.form=kv", "platform.writes_per_s=400", "platform.reads_per_s=2000", "platform.history_s=20",
		"platform.value_bytes=1048576", "platform.ttl_min_ms=1000",
	}
	for i, line := range lines {
		key, _, _ := strings.Cut(line, "=")
		if value, ok := overrides[key]; ok {
			lines[i] = key + "=" + value
		}
	}
	m.Settings = filepath.Join(dir, name+".conf")
	m.client = &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 16, DisableCompression: true}}
	return m, os.WriteFile(m.Settings, []byte(strings.Join(lines, "\n")+"\n"), 0o600)
}

// Start starts the router.
func (m *Machine) Start() error {
	words, err := command(m.root)
	if err != nil {
		return err
	}
	m.log, err = os.OpenFile(filepath.Join(m.dir, m.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	m.cmd = exec.Command(filepath.Join(m.root, words[0]), words[1:]...)
	m.cmd.Dir, m.cmd.Stdout, m.cmd.Stderr = m.root, m.log, m.log
	m.cmd.Env = append([]string{"FULMARDOOR_BOOT=" + m.Settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}, m.Env...)
	m.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := m.cmd.Start(); err != nil {
		return err
	}
	m.done = make(chan struct{})
	cmd, done := m.cmd, m.done
	go func() { _ = cmd.Wait(); close(done) }()
	return nil
}

// Signal sends a signal to the router.
func (m *Machine) Signal(signal syscall.Signal) { _ = m.cmd.Process.Signal(signal) }

// Running reports whether the router's process has not ended.
func (m *Machine) Running() bool {
	select {
	case <-m.done:
		return false
	default:
		return true
	}
}

// Kill ends the router at once.
func (m *Machine) Kill() {
	if m.cmd == nil {
		return
	}
	_ = m.cmd.Process.Kill()
	<-m.done
	_ = m.log.Close()
}

// Dump ends the router with SIGQUIT, whose default action in a Go program prints all goroutines, and returns the lines that name a
// function of each of the given types, in goroutines that wait for a mutex.
func (m *Machine) Dump(names ...string) []string {
	m.Signal(syscall.SIGQUIT)
	select {
	case <-m.done:
	case <-time.After(3 * time.Second):
		return nil
	}
	text, err := os.ReadFile(filepath.Join(m.dir, m.Name+".log"))
	if err != nil {
		return nil
	}
	var lines []string
	for _, goroutine := range strings.Split(string(text), "\n\n") {
		head, stack, _ := strings.Cut(strings.TrimSpace(goroutine), "\n")
		if !strings.HasPrefix(head, "goroutine ") || !strings.Contains(head, "sync.Mutex.Lock") {
			continue
		}
		var calls []string
		found := map[string]bool{}
		for line := range strings.Lines(stack) {
			for _, name := range names {
				if !strings.HasPrefix(line, "\t") && strings.Contains(line, name) {
					call, _, _ := strings.Cut(line[strings.LastIndex(line, "/")+1:], "({")
					call, _, _ = strings.Cut(call, "(0x")
					calls = append(calls, strings.TrimSpace(call))
					found[name] = true
				}
			}
		}
		if len(found) == len(names) && !strings.Contains(stack, "buildHeartbeat") {
			lines = append(lines, head+" "+strings.Join(calls, " < "))
		}
	}
	return lines
}

// IsReady asks the router as the load balancer does.
func (m *Machine) IsReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.Ready+"/v1/readyz", nil)
	response, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == 200
}

// Answer is what a client got.
type Answer struct {
	ID      string
	Sent    time.Time
	Took    time.Duration
	Status  int
	Body    string
	Stamped bool
	Err     error
}

var nextID atomic.Int64

// NewID returns the id of a client attempt.
func NewID() string { return fmt.Sprintf("a%015x", nextID.Add(1)) }

// Send sends one request to the machine as a client does.
func (m *Machine) Send(method, host, path, key, body string) Answer {
	a := Answer{ID: NewID(), Sent: time.Now()}
	req, err := http.NewRequest(method, "http://"+m.Front+path, strings.NewReader(body))
	if err != nil {
		a.Err = err
		return a
	}
	req.Host = host
	req.Header.Set("Fulmardoor-Request-Id", a.ID)
	req.Header.Set("Fulmardoor-Deadline-Ms", "3000")
	if key != "" {
		req.Header.Set("Authorization", "Token "+key)
	}
	response, err := m.client.Do(req)
	a.Took = time.Since(a.Sent)
	if err != nil {
		a.Err = err
		return a
	}
	text, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	a.Took, a.Status, a.Body, a.Err = time.Since(a.Sent), response.StatusCode, string(text), err
	a.Stamped = response.Header.Get("Fulmardoor-Response-Stamp") != ""
	return a
}

// String describes the answer.
func (a Answer) String() string {
	if a.Err != nil {
		return fmt.Sprintf("%s: no answer after %d ms: %v", a.ID, a.Took.Milliseconds(), a.Err)
	}
	return fmt.Sprintf("%s: status %d after %d ms, runner's stamp %v", a.ID, a.Status, a.Took.Milliseconds(), a.Stamped)
}

// WatchMemory ends the router when it has more memory than it may have, and starts it again after a short delay, as the platform does.
func (m *Machine) WatchMemory(limitMB int, report func(mb int)) {
	runtime.LockOSThread() // a router ends with the thread that started it
	for {
		time.Sleep(50 * time.Millisecond)
		if m.isEnded() {
			return
		}
		if mb := m.residentMB(); mb > limitMB {
			m.mu.Lock()
			m.kills, m.killedAt = m.kills+1, time.Now()
			m.mu.Unlock()
			report(mb)
			m.Kill()
			time.Sleep(500 * time.Millisecond)
			if m.isEnded() || m.Start() != nil {
				return
			}
		}
	}
}

// Kills returns how often the platform ended the router for its memory.
func (m *Machine) Kills() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.kills
}

// KilledAt returns when the platform ended the router for its memory last; the zero time if it never did.
func (m *Machine) KilledAt() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.killedAt
}

// End ends the router for good.
func (m *Machine) End() {
	m.mu.Lock()
	m.ended = true
	m.mu.Unlock()
	m.Kill()
}

func (m *Machine) isEnded() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ended
}

// residentMB returns the memory of the router's process as the platform sees it.
func (m *Machine) residentMB() int {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.cmd.Process.Pid))
	for line := range strings.Lines(string(text)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			kb, _ := strconv.Atoi(fields[1])
			return kb >> 10
		}
	}
	return 0
}
