package listen

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

const (
	// The ports lie below the ephemeral range. A free port from that range was
	// taken by an outgoing connection of another test before the daemon that it
	// was meant for listened on it.
	firstPort = 20000
	ports     = 12000
	// stride spaces the first ports of processes with adjacent ids, which start at
	// the same time.
	stride = 131
)

var nextPort atomic.Uint32

// FreeAddress returns a loopback address with a port that is free and outside the
// ephemeral range. Later calls in this process return other ports.
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
