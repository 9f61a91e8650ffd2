package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// recorder writes what was sent, answered and run to the record.
type recorder struct {
	mu    sync.Mutex // guards the fields below
	began time.Time
	out   *os.File
}

func (r *recorder) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// router is one process of the deploy file.
type router struct {
	name, host, front, ready string
	command                  *exec.Cmd
	log                      *os.File
}

// loopbackNetwork returns the first three numbers of loopback addresses that no other program is likely to use.
func loopbackNetwork() string { return fmt.Sprintf("127.%d.%d.", 64+rand.IntN(128), 1+rand.IntN(250)) }

// freePort returns a port that is free on an address now.
func freePort(host string) (int, error) {
	listener, err := net.Listen("tcp", host+":0")
	if err != nil {
		return 0, err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().(*net.TCPAddr).Port, nil
}

// startRouter starts the program of the deploy file with the settings of a machine of kimist.
func startRouter(folder, name, zone, host, storeAddress string) (*router, error) {
	var ports [3]int
	for i := range ports {
		var err error
		if ports[i], err = freePort(host); err != nil {
			return nil, err
		}
	}
	r := &router{name: name, host: host, front: fmt.Sprintf("%s:%d", host, ports[0]), ready: fmt.Sprintf("%s:%d", host, ports[1])}
	settings := []string{
		"node_name=" + name, "role=router", "machine_class=front", "serves=front", "ip=" + host, "zone=" + zone, "region=pwani",
		"listen.front=" + r.front, "listen.ready=" + r.ready, fmt.Sprintf("port_range=%d,%d", ports[2], ports[2]), "bootstrap=true",
		"limits.cpu_share=0.304", "limits.cores=1", "limits.memory_mb=134", "limits.max_fds=4100", "limits.link_mbps=1000.0",
		"discovery=platform", "entry=vip", "heartbeat_ms=1200", "bounds.reuse_after_s=2", "bounds.contact_ms=3000", "bounds.drain_ms=2000",
		"bounds.grace_s=8", "bounds.lost_slack_ms=200", "bounds.config_apply_ms=2000", "bounds.budget_ratio=0.2", "bounds.budget_window_s=10",
		"bounds.retry_slack=56", "bounds.quota_window_s=8", "bounds.quota_over=0.1", "bounds.quota_slack=190000", "bounds.require_fencing=true",
		"bounds.lease_ms=3000", "bounds.thaw_ms=300", "platform.address=" + storeAddress, "platform.form=kv", "platform.writes_per_s=400",
		"platform.reads_per_s=2000", "platform.history_s=20", "platform.value_bytes=1048576", "platform.ttl_min_ms=1000",
	}
	path := filepath.Join(folder, name+".conf")
	if err := os.WriteFile(path, []byte(strings.Join(settings, "\n")+"\n"), 0o600); err != nil {
		return nil, err
	}
	var err error
	if r.log, err = os.Create(filepath.Join(folder, name+".log")); err != nil {
		return nil, err
	}
	r.command = exec.Command("target/fulmardoor-router", "run", "--metrics-port", "9100")
	r.command.Env = []string{"FULMARDOOR_BOOT=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + folder}
	r.command.Stdout, r.command.Stderr = r.log, r.log
	if err := r.command.Start(); err != nil {
		return nil, err
	}
	endWithSignals(r.command.Process)
	return r, nil
}

// endWithSignals ends a process that this one started if this one is told to end.
func endWithSignals(process *os.Process) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		<-signals
		_ = process.Kill()
		time.Sleep(100 * time.Millisecond) // the other processes are ended meanwhile
		os.Exit(didNotRun)
	}()
}

func (r *router) end() {
	if r.command.ProcessState == nil {
		_ = r.command.Process.Kill()
		_ = r.command.Wait()
	}
	_ = r.log.Close()
}

// waitReady waits until the router is ready.
func (r *router) waitReady() error {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := http.Get("http://" + r.ready + "/v1/readyz")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s did not become ready", r.name)
}

// The services of the configuration.
const (
	service      = "ledger"
	modelService = "drafter"
)

// configuration returns a document like one of kimist, with a route for bookings and one for drafts, which need no key.
func configuration() map[string]any {
	return map[string]any{
		"version": 1,
		"routes": []any{
			map[string]any{"name": "r-book", "host": "book.example", "path_prefix": "/book/", "kind": "non_idempotent", "timeout_ms": 1500,
				"latency_goal_ms": 300, "priority": 2, "service": service, "attempts": 1, "public": true},
			map[string]any{"name": "r-draft", "host": "book.example", "path_prefix": "/draft/", "kind": "streaming", "timeout_ms": 14000,
				"latency_goal_ms": 900, "gap_aim_ms": 300, "priority": 1, "service": modelService, "attempts": 1, "sticky": true, "public": true},
		},
		"services": []any{
			map[string]any{"name": service, "health_path": "/healthz", "max_conns": 110, "protocol": "h1", "tls": false},
			map[string]any{"name": modelService, "health_path": "/healthz", "max_conns": 370, "protocol": "h1", "tls": false,
				"engine": map[string]any{"slots": 64, "kv_tokens": 42786, "kv_token_bytes": 18432, "link_mbps": 180000, "stride": 13,
					"handle_ttl_s": 0.5, "stage_switch_s": 6, "models": []any{map[string]any{"name": "m"}}}},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "huka270", "api_keys": []string{"3d3zji9n73hh2b9wu3fe"}, "unit": "token_stream", "plain_tokens": 200}},
	}
}
