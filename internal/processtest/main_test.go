// Package processtest runs the programs as separate processes on loopback addresses and injects failures that cannot be
// simulated in virtual time: signals, suspended processes, connections that deliver nothing, occupied ports and a platform
// that is not running.
package processtest

import (
	"flag"
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// maxParallel is the number of deployments that run at the same time; each has about ten processes.
	maxParallel = 4
	// waitTimeout limits waits for conditions that must become true eventually. Tests do not use it to measure speed.
	waitTimeout  = 40 * time.Second
	pollInterval = 20 * time.Millisecond
)

// binaries is the directory that holds the built programs.
var binaries string

func TestMain(m *testing.M) {
	if limit := os.Getenv(descriptorLimitVariable); limit != "" {
		fmt.Fprintln(os.Stderr, executeWithDescriptorLimit(limit, os.Args[1:]))
		os.Exit(1)
	}
	flag.Parse()
	os.Exit(runTests(m))
}

// runTests builds the programs with the extra flags in PROCESSTEST_BUILD, for example -race, and runs the tests.
func runTests(m *testing.M) int {
	_ = flag.Set("test.parallel", fmt.Sprint(maxParallel))
	dir, err := os.MkdirTemp("", "processtest")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	arguments := append([]string{"build"}, strings.Fields(os.Getenv("PROCESSTEST_BUILD"))...)
	build := exec.Command("go", append(arguments, "-o", dir+"/", "../../cmd/...", "../../standin/cmd/...")...)
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "build programs:", err)
		return 1
	}
	binaries = dir
	return m.Run()
}

// trackSources makes the cached test result of this package depend on the sources of the programs, which the package does not
// import: the go command records the files that a test calls os.Stat on.
var trackSources = sync.OnceFunc(func() {
	for _, dir := range []string{"cmd", "internal", "platform", "standin", "api", "go.mod"} {
		_ = filepath.WalkDir("../../"+dir, func(path string, _ fs.DirEntry, _ error) error {
			_, _ = os.Stat(path)
			return nil
		})
	}
})

func binaryPath(name string) string { return filepath.Join(binaries, name) }

// addressPool allocates listen addresses on a loopback address that belongs to this test run. Outgoing connections have
// 127.0.0.1 as their source address, so none of them can occupy the port of a program while it restarts.
var addressPool = struct {
	sync.Mutex
	host      string
	allocated int // number of ports that were allocated
}{host: loopbackAddress(os.Getpid())}

func loopbackAddress(pid int) string { return fmt.Sprintf("127.%d.%d.1", 1+pid%250, pid/250%250) }

// firstPort is below the range of ephemeral ports.
const firstPort = 20000

// freeAddress returns an address that no other call returns. It does not listen on it to check that it is free: a child process
// that another test forks at that moment would inherit the listener until it executes its program, and the address would stay
// in use after the listener is closed.
func freeAddress(t testing.TB) string {
	t.Helper()
	addressPool.Lock()
	defer addressPool.Unlock()
	addressPool.allocated++
	return fmt.Sprintf("%s:%d", addressPool.host, firstPort+addressPool.allocated)
}

// eventually polls until condition returns an empty string. After waitTimeout the test fails with the last string.
func eventually(t testing.TB, what string, condition func() string) {
	t.Helper()
	last := ""
	for begin := time.Now(); time.Since(begin) < waitTimeout; time.Sleep(pollInterval) {
		if last = condition(); last == "" {
			return
		}
	}
	t.Fatalf("%s: did not happen within %v: %s", what, waitTimeout, last)
}

// ini builds the text of a settings file or document.
type ini struct{ strings.Builder }

func (i *ini) section(header string, pairs ...string) {
	fmt.Fprintf(i, "[%s]\n", header)
	for n := 0; n < len(pairs); n += 2 {
		fmt.Fprintf(i, "%s = %s\n", pairs[n], pairs[n+1])
	}
}
