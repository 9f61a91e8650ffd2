package ingress

import (
	"bufio"
	"io"
	"math"
	"os"
	"runtime/debug"
	"strconv"
	"strings"
	"syscall"

	"github.com/go-faster/errors"
)

// DescriptorLimit returns the limit of open files of this process.
func DescriptorLimit() (int, error) {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 0, errors.Wrap(err, "limit of open files")
	}
	return int(min(limit.Cur, math.MaxInt32)), nil
}

// ThisHost returns the limit of open files and the memory of the host, or GOMEMLIMIT if that is less.
func ThisHost() (Host, error) {
	descriptors, err := DescriptorLimit()
	if err != nil {
		return Host{}, err
	}
	file, err := os.Open("/proc/meminfo")
	if err != nil {
		return Host{}, errors.Wrap(err, "memory of the host")
	}
	defer func() { _ = file.Close() }()
	memory, err := parseMemTotal(file)
	if err != nil {
		return Host{}, err
	}
	return Host{MemoryBytes: min(memory, debug.SetMemoryLimit(-1)), Descriptors: descriptors}, nil
}

// parseMemTotal returns the bytes of the line MemTotal of /proc/meminfo, which is in KiB.
func parseMemTotal(r io.Reader) (int64, error) {
	scanner := bufio.NewScanner(r)
	for scanner.Scan() {
		fields := strings.Fields(scanner.Text())
		if len(fields) < 2 || fields[0] != "MemTotal:" {
			continue
		}
		kilobytes, err := strconv.ParseInt(fields[1], 10, 64)
		if err != nil || kilobytes <= 0 || kilobytes > math.MaxInt64>>10 {
			return 0, errors.Errorf("memory of the host: %q is no size", fields[1])
		}
		return kilobytes << 10, nil
	}
	if err := scanner.Err(); err != nil {
		return 0, errors.Wrap(err, "memory of the host")
	}
	return 0, errors.New("memory of the host: no MemTotal")
}
