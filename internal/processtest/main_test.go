// Package processtest runs the programs as separate processes on loopback addresses and brings about failures that
// virtual time cannot: signals, frozen processes, silent connections, occupied ports and an absent platform.
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
	// maxParallel bounds the deployments that run at the same time; each has some ten processes.
	maxParallel = 4
	// patience is the limit of waits for something that must happen in the end. It is no measure of speed.
	patience = 40 * time.Second
	pollPace = 20 * time.Millisecond
)

// binaries is the directory with the programs.
var binaries string

func TestMain(m *testing.M) {
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

// trackSources makes the cached result of this package depend on the sources of the programs, which it does not import.
// Go notes the files that a test looks at.
var trackSources = sync.OnceFunc(func() {
	for _, dir := range []string{"cmd", "internal", "platform", "standin", "api", "go.mod"} {
		_ = filepath.WalkDir("../../"+dir, func(path string, _ fs.DirEntry, _ error) error {
			_, _ = os.Stat(path)
			return nil
		})
	}
})

func program(name string) string { return filepath.Join(binaries, name) }

// addresses gives out free addresses. Outgoing connections have 127.0.0.1 as their source, so on another loopback address
// of this run's own none of them can occupy the port of a program between two starts.
var addresses = struct {
	sync.Mutex
	host string
	next int // ports given out
}{host: loopbackOf(os.Getpid())}

func loopbackOf(pid int) string { return fmt.Sprintf("127.%d.%d.1", 1+pid%250, pid/250%250) }

// firstPort is below the ports that the system gives to outgoing connections.
const firstPort = 20000

// freeAddress returns an address that no other call gets. It does not try the address: a child process that another test
// starts at that moment inherits the listener until it executes its program, and the address stays in use after the close.
func freeAddress(t testing.TB) string {
	t.Helper()
	addresses.Lock()
	defer addresses.Unlock()
	addresses.next++
	return fmt.Sprintf("%s:%d", addresses.host, firstPort+addresses.next)
}

// eventually polls until condition returns an empty text, and fails with the text past patience.
func eventually(t testing.TB, what string, condition func() string) {
	t.Helper()
	last := ""
	for begin := time.Now(); time.Since(begin) < patience; time.Sleep(pollPace) {
		if last = condition(); last == "" {
			return
		}
	}
	t.Fatalf("%s: not within %v: %s", what, patience, last)
}

// ini is the text of a settings file or document.
type ini struct{ strings.Builder }

func (i *ini) section(header string, pairs ...string) {
	fmt.Fprintf(i, "[%s]\n", header)
	for n := 0; n < len(pairs); n += 2 {
		fmt.Fprintf(i, "%s = %s\n", pairs[n], pairs[n+1])
	}
}
