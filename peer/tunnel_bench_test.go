package peer

import (
	"io"
	"net"
	"os"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/embercove/embercove/endpoint"
	"github.com/embercove/embercove/tunnel"
)

// BenchmarkTunnel measures what tunnels cost in processor time and memory, at the gateway and the host that asks
// together, and how many descriptors. Direct connections stand beside them.
func BenchmarkTunnel(b *testing.B) {
	b.Run("open", func(b *testing.B) {
		e := newTunnelEnds(b)
		measureProcessor(b, func() {
			for range b.N {
				near, far := e.accept(b)
				near.Close()
				far.Close()
			}
		})
	})
	b.Run("open directly", func(b *testing.B) {
		l := listenLoopback(b)
		measureProcessor(b, func() {
			for range b.N {
				near, far := connectDirectly(b, l)
				near.Close()
				far.Close()
			}
		})
	})
	b.Run("pass 1 MB", func(b *testing.B) {
		near, far := newTunnelEnds(b).accept(b)
		measureProcessor(b, func() { passMegabytes(b, near, far) })
	})
	b.Run("pass 1 MB directly", func(b *testing.B) {
		near, far := connectDirectly(b, listenLoopback(b))
		measureProcessor(b, func() { passMegabytes(b, near, far) })
	})
	b.Run("hold", func(b *testing.B) {
		e := newTunnelEnds(b)
		before, descriptors := heldMemory(), countDescriptors(b)
		for range b.N {
			e.accept(b)
		}
		b.ReportMetric(float64(heldMemory()-before)/float64(b.N), "B/tunnel")
		b.ReportMetric(float64(countDescriptors(b)-descriptors)/float64(b.N), "fds/tunnel")
	})
	b.Run("refuse, being cut off", func(b *testing.B) {
		e := newTunnelEnds(b)
		e.endpoint.Close()
		e.other.Close()
		measureProcessor(b, func() {
			for range b.N {
				conn, _, err := e.asking.OpenTunnel(b.Context(), e.gateway, tunnel.Request{From: e.asking.board.Number, Address: e.endpoint.Addr().String()})
				if conn != nil || err != nil {
					b.Fatal(err)
				}
			}
		})
	})
}

func connectDirectly(b *testing.B, l net.Listener) (near, far net.Conn) {
	near, err := endpoint.DefaultDial()(b.Context(), "tcp", l.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	if far, err = l.Accept(); err != nil {
		b.Fatal(err)
	}
	return near, far
}

// passMegabytes sends b.N megabytes from far to near.
func passMegabytes(b *testing.B, near, far net.Conn) {
	const size = 1 << 20
	go func() {
		chunk := make([]byte, size)
		for range b.N {
			if _, err := far.Write(chunk); err != nil {
				b.Error(err)
				return
			}
		}
	}()
	if _, err := io.CopyN(io.Discard, near, int64(b.N)*size); err != nil {
		b.Fatal(err)
	}
}

// measureProcessor reports the processor time of f, which does b.N operations.
func measureProcessor(b *testing.B, f func()) {
	b.ResetTimer()
	before := processorTime(b)
	f()
	b.ReportMetric(float64((processorTime(b)-before).Microseconds())/float64(b.N), "cpu-µs/op")
}

func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// heldMemory returns the bytes of the heap and of stacks that are in use.
func heldMemory() int64 {
	time.Sleep(100 * time.Millisecond) // until what was opened last is at rest
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

func countDescriptors(b *testing.B) int {
	list, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		b.Fatal(err)
	}
	return len(list)
}
