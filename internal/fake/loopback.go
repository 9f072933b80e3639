package fake

import (
	"fmt"
	"os"
	"sync/atomic"
)

// loopbackHosts counts the calls of LoopbackHost in this process.
var loopbackHosts atomic.Int64

// LoopbackHost returns a loopback address for stand-ins and hosts whose ports
// are reserved some time before they listen on them. It is never 127.0.0.1:
// any outgoing connection made in between may take a port of that address.
func LoopbackHost() string {
	const octets = 250
	return fmt.Sprintf("127.%d.%d.1", 1+os.Getpid()%octets, 1+loopbackHosts.Add(1)%octets)
}
