package httpclient

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// probeCount is the number of consecutive failed keep-alive probes after which
// the kernel closes a connection. TCP_USER_TIMEOUT takes precedence where both
// apply.
const probeCount = 3

// NewDialer returns a dialer whose connections the kernel closes when the peer is
// unreachable.
func NewDialer(o Options) *net.Dialer {
	o = o.withDefaults()
	d := newDialer(o)
	d.Timeout = o.ConnectTimeout
	return &d
}

func newDialer(o Options) net.Dialer {
	return net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: o.KeepAlive, Interval: o.KeepAlive, Count: probeCount},
		Control: func(_, _ string, c syscall.RawConn) error {
			return setUserTimeout(c, o.UserTimeout)
		},
	}
}

func setUserTimeout(c syscall.RawConn, d time.Duration) error {
	var err error
	controlErr := c.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
	return errors.Join(controlErr, err)
}

// openAndEmpty reports whether the connection is open and its receive buffer is
// empty.
func openAndEmpty(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	var peekErr error
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, peekErr = unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return true
	})
	return err == nil && errors.Is(peekErr, unix.EAGAIN)
}
