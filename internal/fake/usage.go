package fake

import (
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// PeakMemory returns the most memory that a process has had resident, in bytes.
func PeakMemory(pid int) (int64, error) {
	src, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(src)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kilobytes, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 10, 64)
			return kilobytes << 10, err
		}
	}
	return 0, errors.Errorf("process %d states no peak of its memory", pid)
}

// Descriptors returns how many file descriptors a process has open.
func Descriptors(pid int) (int, error) {
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return len(open), err
}

// peakRest is for how long the peak of a process's memory has to stay the same to count as reached.
const peakRest = time.Second

// AwaitPeak returns the most memory that a process has had resident once that grows no more, in bytes.
func AwaitPeak(pid int) (int64, error) {
	for peak := int64(0); ; {
		now, err := PeakMemory(pid)
		if err != nil || now == peak {
			return now, err
		}
		peak = now
		time.Sleep(peakRest)
	}
}

// SocketBytes returns how many bytes wait unread in the sockets of an IPv4 address and port of this machine.
func SocketBytes(address netip.AddrPort) (total int64, err error) {
	src, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0, err
	}
	ip := address.Addr().As4()
	local := fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], address.Port())
	for line := range strings.Lines(string(src)) {
		fields := strings.Fields(line)
		if len(fields) < 5 || fields[1] != local || fields[3] == stateListen {
			continue
		}
		_, unread, _ := strings.Cut(fields[4], ":")
		n, err := strconv.ParseInt(unread, 16, 64)
		if err != nil {
			return total, errors.Wrapf(err, "/proc/net/tcp: %q", line)
		}
		total += n
	}
	return total, nil
}

// stateListen is the state of a listening socket, whose queues count connections.
const stateListen = "0A"
