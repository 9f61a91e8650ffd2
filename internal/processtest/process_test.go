package processtest

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"
)

// process is a program that a test started.
type process struct {
	t    testing.TB
	name string
	log  string
	cmd  *exec.Cmd
	done chan struct{} // closed when the process has ended
}

// start runs a program until the end of the test at the latest. Its output is appended to a file in dir.
func start(t testing.TB, dir, name, binary string, args ...string) *process {
	t.Helper()
	p := &process{t: t, name: name, log: filepath.Join(dir, name+".log"), done: make(chan struct{})}
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	p.cmd = exec.Command(program(binary), args...)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	// The end of the test binary by its time limit runs no cleanup; the kernel then ends the process.
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

// kill ends the process as a crash does.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// freeze stops the process with SIGSTOP and returns when all its threads stand still.
func (p *process) freeze() {
	p.t.Helper()
	p.signal(syscall.SIGSTOP)
	eventually(p.t, p.name+" is frozen", func() string {
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

func (p *process) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// exit waits for the end and returns the exit status.
func (p *process) exit() int {
	p.t.Helper()
	select {
	case <-p.done:
	case <-time.After(patience):
		p.t.Fatalf("%s did not end within %v", p.name, patience)
	}
	return p.cmd.ProcessState.ExitCode()
}

// output returns everything that the process, and earlier ones of the same name, wrote.
func (p *process) output() string {
	text, err := os.ReadFile(p.log)
	if err != nil {
		p.t.Fatal(err)
	}
	return string(text)
}

// command runs a program to its end and returns its output and exit status.
func command(t testing.TB, environment []string, binary string, args ...string) (stdout, stderr string, status int) {
	t.Helper()
	var out, problems bytes.Buffer
	cmd := exec.CommandContext(t.Context(), program(binary), args...)
	cmd.Env = append(os.Environ(), environment...)
	cmd.Stdout, cmd.Stderr = &out, &problems
	err := cmd.Run()
	if cmd.ProcessState == nil {
		t.Fatal(err)
	}
	return out.String(), problems.String(), cmd.ProcessState.ExitCode()
}

// showLogs prints the last warnings and errors of each process of a failed test, and a panic with its stack. With
// PROCESSTEST_LOGS set it copies everything to that directory.
func showLogs(t testing.TB, dir string) {
	const shown, stack = 8, 40
	if keep := os.Getenv("PROCESSTEST_LOGS"); keep != "" {
		_ = os.CopyFS(filepath.Join(keep, t.Name()), os.DirFS(dir))
	}
	files, _ := filepath.Glob(filepath.Join(dir, "*.log"))
	for _, file := range files {
		text, _ := os.ReadFile(file)
		var lines []string
		left := 0 // lines of a stack still to be shown
		for line := range strings.Lines(string(text)) {
			if slices.ContainsFunc(faultMarks, func(mark string) bool { return strings.Contains(line, mark) }) {
				left = stack
			}
			if left > 0 || strings.Contains(line, `"level":"warn"`) || strings.Contains(line, `"level":"error"`) {
				lines = append(lines, line)
			}
			left--
		}
		lines = lines[max(0, len(lines)-shown-stack):]
		if len(lines) > 0 {
			t.Logf("%s:\n%s", filepath.Base(file), strings.Join(lines, ""))
		}
	}
}
