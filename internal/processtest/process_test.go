package processtest

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

// process is a running program that a test started.
type process struct {
	t       testing.TB
	name    string
	logFile string
	cmd     *exec.Cmd
	done    chan struct{} // closed when the process has ended
}

// startProcess starts a program, which is killed at the end of the test. Its output is appended to a file in dir.
func startProcess(t testing.TB, dir, name, binary string, args ...string) *process {
	t.Helper()
	return startCommand(t, dir, name, exec.Command(binaryPath(binary), args...))
}

// descriptorLimitVariable makes the test binary run the program in its arguments with that limit of open descriptors.
const descriptorLimitVariable = "PROCESSTEST_DESCRIPTOR_LIMIT"

// startProcessWithDescriptors is like startProcess. The process can open a limited number of descriptors.
func startProcessWithDescriptors(t testing.TB, dir, name string, descriptors int, binary string, args ...string) *process {
	t.Helper()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(self, append([]string{binaryPath(binary)}, args...)...)
	cmd.Env = append(os.Environ(), fmt.Sprintf("%s=%d", descriptorLimitVariable, descriptors))
	return startCommand(t, dir, name, cmd)
}

// executeWithDescriptorLimit replaces this process by the program in the arguments.
func executeWithDescriptorLimit(limit string, arguments []string) error {
	descriptors, err := strconv.ParseUint(limit, 10, 64)
	if err != nil {
		return err
	}
	// The hard limit is lowered too, because the Go runtime raises the soft limit to it.
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: descriptors, Max: descriptors}); err != nil {
		return err
	}
	return syscall.Exec(arguments[0], arguments, os.Environ())
}

func startCommand(t testing.TB, dir, name string, cmd *exec.Cmd) *process {
	t.Helper()
	p := &process{t: t, name: name, logFile: filepath.Join(dir, name+".log"), done: make(chan struct{})}
	out, err := os.OpenFile(p.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	p.cmd = cmd
	p.cmd.Stdout, p.cmd.Stderr = out, out
	// When the test binary exceeds its timeout, no cleanup runs; the kernel then kills the process.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = p.cmd.Wait()
		_ = out.Close()
		close(p.done)
	}()
	t.Cleanup(p.kill)
	return p
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill ends the process with SIGKILL and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// freeze suspends the process with SIGSTOP and returns when all its threads are stopped.
func (p *process) freeze() {
	p.t.Helper()
	p.signal(syscall.SIGSTOP)
	eventually(p.t, p.name+" is stopped by SIGSTOP", func() string {
		threads, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.cmd.Process.Pid))
		for _, thread := range threads {
			text, err := os.ReadFile(thread)
			if state := string(text); err == nil && !strings.HasPrefix(state[strings.LastIndex(state, ")")+1:], " T") {
				return state
			}
		}
		return ""
	})
}

func (p *process) hasEnded() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// waitExit waits for the end of the process and returns its exit status.
func (p *process) waitExit() int {
	p.t.Helper()
	select {
	case <-p.done:
	case <-time.After(waitTimeout):
		p.t.Fatalf("%s did not end within %v", p.name, waitTimeout)
	}
	return p.cmd.ProcessState.ExitCode()
}

// output returns everything that the process and earlier processes of the same name wrote.
func (p *process) output() string {
	text, err := os.ReadFile(p.logFile)
	if err != nil {
		p.t.Fatal(err)
	}
	return string(text)
}

// runCommand runs a program until it exits.
func runCommand(t testing.TB, environment []string, binary string, args ...string) (stdout, stderr string, status int) {
	t.Helper()
	var out, errOut bytes.Buffer
	cmd := exec.CommandContext(t.Context(), binaryPath(binary), args...)
	cmd.Env = append(os.Environ(), environment...)
	cmd.Stdout, cmd.Stderr = &out, &errOut
	err := cmd.Run()
	if cmd.ProcessState == nil {
		t.Fatal(err)
	}
	return out.String(), errOut.String(), cmd.ProcessState.ExitCode()
}

// showLogs prints the last warnings, errors and stack traces of each process of a failed test. If PROCESSTEST_LOGS names a
// directory, it copies all files of dir there.
func showLogs(t testing.TB, dir string) {
	const tailLines, stackLines = 8, 40
	if copyDir := os.Getenv("PROCESSTEST_LOGS"); copyDir != "" {
		_ = os.CopyFS(filepath.Join(copyDir, t.Name()), os.DirFS(dir))
	}
	files, _ := filepath.Glob(filepath.Join(dir, "*.log"))
	for _, file := range files {
		text, _ := os.ReadFile(file)
		var lines []string
		stackLeft := 0 // lines of the current stack that are still to be printed
		for line := range strings.Lines(string(text)) {
			if slices.ContainsFunc(crashMarkers, func(marker string) bool { return strings.Contains(line, marker) }) {
				stackLeft = stackLines
			}
			if stackLeft > 0 || strings.Contains(line, `"level":"warn"`) || strings.Contains(line, `"level":"error"`) {
				lines = append(lines, line)
			}
			stackLeft--
		}
		lines = lines[max(0, len(lines)-tailLines-stackLines):]
		if len(lines) > 0 {
			t.Logf("%s:\n%s", filepath.Base(file), strings.Join(lines, ""))
		}
	}
}
