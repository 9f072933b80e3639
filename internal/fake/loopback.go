package fake

import (
	"fmt"
	"os"
	"sync/atomic"
)

// hostsTaken counts the calls of LoopbackHost in this process.
var hostsTaken atomic.Int64

// LoopbackHost returns a loopback address for listeners of stand-ins and hosts
// whose ports are reserved before they are opened. It is never 127.0.0.1, whose
// ports any connection made meanwhile may take.
func LoopbackHost() string {
	const most = 250
	return fmt.Sprintf("127.%d.%d.1", 1+os.Getpid()%most, 1+hostsTaken.Add(1)%most)
}
