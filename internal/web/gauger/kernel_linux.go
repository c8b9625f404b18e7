package gauger

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// readKernel returns the round trip and the waiting time by the kernel's TCP_INFO. The minimum of the round trip is used
// where there is one: the smoothed one includes the delay by which clients acknowledge answers, up to 40 ms.
func readKernel(c net.Conn) Transit {
	info, ok := readInfo(c)
	if !ok {
		return Transit{}
	}
	rtt := info.Rtt
	// The kernel reports all bits set when it has no minimum.
	if info.Min_rtt > 0 && info.Min_rtt < rtt {
		rtt = info.Min_rtt
	}
	return Transit{RoundTrip: time.Duration(rtt) * time.Microsecond, Waited: time.Duration(info.Last_data_recv) * time.Millisecond}
}

// Unread returns about how many bytes of earlier answers a client has not acknowledged or has no room for; 0 when it is not known.
func Unread(c net.Conn) int {
	info, ok := readInfo(c)
	if !ok {
		return 0
	}
	return int(info.Unacked)*int(info.Snd_mss) + int(info.Notsent_bytes)
}

// readInfo returns the kernel's figures of a connection.
func readInfo(c net.Conn) (*unix.TCPInfo, bool) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return nil, false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil, false
	}
	var info *unix.TCPInfo
	if raw.Control(func(fd uintptr) {
		info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	}) != nil || err != nil {
		return nil, false
	}
	return info, true
}
