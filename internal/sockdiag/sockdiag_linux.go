// Package sockdiag reads the state of TCP sockets from the kernel, over sock_diag(7), for tests.
package sockdiag

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"syscall"
)

// The states of a socket that tests distinguish.
const (
	Established = 1
	CloseWait   = 8
	Listen      = 10
)

// ErrNoSocket is returned by Between if the kernel knows no such socket.
var ErrNoSocket = errors.New("no such socket")

// Socket is a TCP socket of the machine.
type Socket struct {
	State byte
	// Inode identifies the socket; 0 once its process has closed it.
	Inode                 uint32
	LocalPort, RemotePort uint16
	// Unread is the number of received bytes that the process has not read, Unsent that of written bytes that the peer's
	// kernel has not acknowledged.
	Unread, Unsent int64
	// Acknowledged, in results of Between, is the number of written bytes that the peer's kernel has acknowledged; -1 if only
	// a record of the closed connection is left. The opening and the close may add one each.
	Acknowledged int64
	// Memory, in results of All, is the number of bytes that the socket occupies in the kernel.
	Memory int64
}

// Sizes, offsets and values of linux/sock_diag.h, linux/inet_diag.h and linux/tcp.h.
const (
	byFamily                                                     = 20
	requestSize, messageSize, attributeHeader                    = 56, 72, 4
	offsetState, offsetLocalPort, offsetRemotePort               = 1, 4, 6
	offsetReceiveQueue, offsetSendQueue, offsetInode             = 56, 60, 68
	attributeInfo, attributeMemory                               = 2, 7
	offsetBytesAcknowledged                                      = 120
	noCookie                                                     = ^uint32(0)
	anyState                                                     = ^uint32(0)
	memoryReceived, memoryReserved, memoryToBeSent, MemoryValues = 0, 4, 5, 9
)

// Between returns the TCP socket between two local IPv4 addresses. The kernel is asked for this one socket: the table in
// /proc/net/tcp may lack sockets while others open and close.
func Between(localAddr, remoteAddr net.Addr) (Socket, error) {
	local, remote := localAddr.(*net.TCPAddr), remoteAddr.(*net.TCPAddr)
	id := binary.BigEndian.AppendUint16(nil, uint16(local.Port))
	id = binary.BigEndian.AppendUint16(id, uint16(remote.Port))
	for _, ip := range []net.IP{local.IP, remote.IP} {
		id = append(append(id, ip.To4()...), make([]byte, 12)...)
	}
	id = binary.NativeEndian.AppendUint32(id, 0)
	id = binary.NativeEndian.AppendUint32(id, noCookie)
	id = binary.NativeEndian.AppendUint32(id, noCookie)
	list, err := ask(syscall.AF_INET, syscall.NLM_F_REQUEST, attributeInfo, id)
	if err != nil {
		return Socket{}, err
	}
	if len(list) == 0 {
		return Socket{}, fmt.Errorf("%w between %v and %v", ErrNoSocket, local, remote)
	}
	return list[0], nil
}

// All returns the TCP sockets of the machine that the kernel has in its tables. A socket whose connection was reset is in
// none, even while its process has it open.
func All() ([]Socket, error) {
	var all []Socket
	for _, family := range []byte{syscall.AF_INET, syscall.AF_INET6} {
		list, err := ask(family, syscall.NLM_F_REQUEST|syscall.NLM_F_DUMP, attributeMemory, make([]byte, requestSize-8))
		if err != nil {
			return nil, err
		}
		all = append(all, list...)
	}
	return all, nil
}

// ask sends a request for sockets with one attribute, and returns those of the answer: at most one unless a dump is asked for.
func ask(family byte, flags uint16, attribute byte, id []byte) (list []Socket, err error) {
	fd, err := syscall.Socket(syscall.AF_NETLINK, syscall.SOCK_RAW|syscall.SOCK_CLOEXEC, syscall.NETLINK_INET_DIAG)
	if err != nil {
		return nil, err
	}
	defer func() { _ = syscall.Close(fd) }()
	q := binary.NativeEndian.AppendUint32(nil, syscall.NLMSG_HDRLEN+requestSize)
	q = binary.NativeEndian.AppendUint16(q, byFamily)
	q = binary.NativeEndian.AppendUint16(q, flags)
	q = append(q, make([]byte, 8)...)
	q = append(q, family, syscall.IPPROTO_TCP, 1<<(attribute-1), 0)
	q = binary.NativeEndian.AppendUint32(q, anyState)
	q = append(q, id...)
	if err := syscall.Sendto(fd, q, 0, &syscall.SockaddrNetlink{Family: syscall.AF_NETLINK}); err != nil {
		return nil, err
	}
	buf := make([]byte, 64<<10)
	for {
		n, _, err := syscall.Recvfrom(fd, buf, 0)
		if err != nil {
			return nil, err
		}
		messages, err := syscall.ParseNetlinkMessage(buf[:n])
		if err != nil {
			return nil, err
		}
		for i := range messages {
			m := &messages[i]
			if m.Header.Type != byFamily || len(m.Data) < messageSize {
				return list, nil
			}
			list = append(list, socketOf(m.Data))
		}
		if flags&syscall.NLM_F_DUMP != syscall.NLM_F_DUMP {
			return list, nil
		}
	}
}

func socketOf(message []byte) Socket {
	number := func(b []byte, at int) int64 { return int64(binary.NativeEndian.Uint32(b[at:])) }
	s := Socket{
		State: message[offsetState], Inode: binary.NativeEndian.Uint32(message[offsetInode:]),
		LocalPort: binary.BigEndian.Uint16(message[offsetLocalPort:]), RemotePort: binary.BigEndian.Uint16(message[offsetRemotePort:]),
		Unread: number(message, offsetReceiveQueue), Unsent: number(message, offsetSendQueue), Acknowledged: -1,
	}
	for rest := message[messageSize:]; len(rest) >= attributeHeader; {
		size := int(binary.NativeEndian.Uint16(rest))
		if size < attributeHeader || size > len(rest) {
			break
		}
		value := rest[attributeHeader:size]
		switch kind := binary.NativeEndian.Uint16(rest[2:]); {
		case kind == attributeInfo && len(value) >= offsetBytesAcknowledged+8:
			s.Acknowledged = int64(binary.NativeEndian.Uint64(value[offsetBytesAcknowledged:]))
		case kind == attributeMemory && len(value) >= 4*MemoryValues:
			var values [MemoryValues]uint32
			for n := range values {
				values[n] = binary.NativeEndian.Uint32(value[4*n:])
			}
			s.Memory = Occupied(values)
		}
		rest = rest[min(len(rest), (size+3)&^3):]
	}
	return s
}

// Occupied sums up the bytes that were received, those reserved for either direction, which may be negative, and those to be
// sent, of the values that the kernel reports on a socket's memory.
func Occupied(values [MemoryValues]uint32) (sum int64) {
	for _, at := range []int{memoryReceived, memoryReserved, memoryToBeSent} {
		sum += int64(int32(values[at]))
	}
	return sum
}
