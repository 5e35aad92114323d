package listen

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

const (
	// The ports below the range from which the system takes those of outgoing
	// connections. A freed port of that range was taken by a connection of
	// another test before the daemon that it was meant for listened on it.
	firstPort = 20000
	ports     = 12000
	// stride keeps processes that start at the same time apart.
	stride = 131
)

var nextPort atomic.Uint32

// FreeAddress returns a loopback address on which nobody listens and which no
// outgoing connection gets. A later call in this process returns another one.
func FreeAddress() (string, error) {
	for range ports {
		offset := (uint32(os.Getpid())*stride + nextPort.Add(1)) % ports
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+offset)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		return address, l.Close()
	}
	return "", errors.New("no free loopback port")
}
