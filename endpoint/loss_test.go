package endpoint

import (
	"context"
	"io"
	"net"
	"testing"
	"time"
)

// TestInterruptedWritesGoOn guards against calls that are cut because their answer ends first: the peer may read on.
func TestInterruptedWritesGoOn(t *testing.T) {
	const size = 16 << 20
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	read := make(chan int64, 1)
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		_ = conn.(*net.TCPConn).CloseWrite()
		time.Sleep(50 * time.Millisecond)
		n, _ := io.Copy(io.Discard, conn)
		read <- n
	}()
	conn, err := DefaultDial()(context.Background(), "tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	written := make(chan error, 1)
	go func() {
		_, err := conn.Write(make([]byte, size))
		written <- err
	}()
	time.Sleep(10 * time.Millisecond)
	if n, err := conn.Read(make([]byte, 1)); n != 0 || err != io.EOF {
		t.Errorf("read %d bytes, %v, want the end", n, err)
	}
	if err := <-written; err != nil {
		t.Errorf("the write ended with %v", err)
	}
	conn.Close()
	if n := <-read; n != size {
		t.Errorf("the peer read %d of %d bytes", n, size)
	}
}
