// Package tcpinfo reads what the kernel knows of a TCP connection.
package tcpinfo

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// States of a connection, with the numbers of the kernel's tcp_states.h.
const (
	// StateUnknown is that of a connection of which the kernel does not tell the state.
	StateUnknown     uint8 = 0
	StateEstablished uint8 = 1
	// StateClose is that of a connection that was reset or timed out.
	StateClose uint8 = 7
	// StateCloseWait is that of a connection that the other end has closed in order.
	StateCloseWait uint8 = 8
)

// Read returns the kernel's information on a connection. It returns false if the kernel does not tell, or if this is no connection of
// the kernel.
func Read(conn net.Conn) (*unix.TCPInfo, bool) {
	kernelConn, ok := conn.(syscall.Conn)
	if !ok {
		return nil, false
	}
	raw, err := kernelConn.SyscallConn()
	if err != nil {
		return nil, false
	}
	var info *unix.TCPInfo
	var infoErr error
	err = raw.Control(func(fd uintptr) { info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	if err != nil || infoErr != nil {
		return nil, false
	}
	return info, true
}

// State returns the state of a connection.
func State(conn net.Conn) uint8 {
	if info, ok := Read(conn); ok {
		return info.State
	}
	return StateUnknown
}

// HasEnded reports whether the other end has closed or reset the connection, although nothing was read since. It returns false if the
// kernel does not tell.
func HasEnded(conn net.Conn) bool {
	state := State(conn)
	return state != StateUnknown && state != StateEstablished
}

// HoldsBytes reports whether the kernel has bytes to deliver that the other end has not acknowledged. It returns false if the kernel does
// not tell.
func HoldsBytes(conn net.Conn) bool {
	info, ok := Read(conn)
	return ok && (info.Unacked > 0 || info.Notsent_bytes > 0)
}
