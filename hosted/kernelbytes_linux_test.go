package hosted

import (
	"bufio"
	"encoding/binary"
	"net"
	"os"
	"os/exec"
	"strconv"
	"syscall"
	"testing"
	"unsafe"
)

// Sizes, offsets and values of sock_diag(7).
const (
	diagByFamily, diagMemory      = 20, 7
	diagRequestSize               = 56
	diagMessageSize               = 72
	diagLocalPort, diagRemotePort = 4, 6
	diagInode                     = 68
	tcpListen                     = 10
	// Socket options, and the number of values of the second.
	soProtocol, soMeminfo, memoryValues = 38, 55, 9
)

// tcpSocket is a TCP socket of the machine that is not closed at both ends. Its inode is 0 once its process has closed it.
type tcpSocket struct {
	inode         uint32
	local, remote uint16
	listens       bool
	memory        int64
}

// ownPorts are the ports at which this process listens.
type ownPorts map[uint16]bool

func listeningPorts(t testing.TB) ownPorts {
	own, listens := map[uint32]bool{}, ownPorts{}
	for _, fd := range openFiles(t) {
		var st syscall.Stat_t
		if syscall.Fstat(fd, &st) == nil && st.Mode&syscall.S_IFMT == syscall.S_IFSOCK {
			own[uint32(st.Ino)] = true
		}
	}
	for _, s := range tcpSockets(t) {
		if s.listens && own[s.inode] {
			listens[s.local] = true
		}
	}
	return listens
}

// kernelBytes returns what the kernel holds for the TCP sockets of this process, and for those at either end of connections to
// these ports that are closed already.
func (listens ownPorts) kernelBytes(t testing.TB) uint64 {
	var sum int64
	for _, fd := range openFiles(t) {
		if protocol, err := syscall.GetsockoptInt(fd, syscall.SOL_SOCKET, soProtocol); err == nil && protocol == syscall.IPPROTO_TCP {
			sum += memoryOf(fd)
		}
	}
	for _, s := range tcpSockets(t) {
		if s.inode == 0 && (listens[s.local] || listens[s.remote]) {
			sum += s.memory
		}
	}
	return uint64(max(sum, 0))
}

// openFiles returns the file descriptors of this process.
func openFiles(t testing.TB) (list []int) {
	t.Helper()
	entries, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range entries {
		if fd, err := strconv.Atoi(e.Name()); err == nil {
			list = append(list, fd)
		}
	}
	return list
}

// memoryOf returns the bytes that a socket occupies; 0 if it is closed. A socket whose connection was reset still holds what was
// not read, but is in no table of the kernel.
func memoryOf(fd int) int64 {
	var values [memoryValues]uint32
	size := uint32(unsafe.Sizeof(values))
	_, _, failed := syscall.Syscall6(syscall.SYS_GETSOCKOPT, uintptr(fd), syscall.SOL_SOCKET, soMeminfo, uintptr(unsafe.Pointer(&values)), uintptr(unsafe.Pointer(&size)), 0)
	if failed != 0 {
		return 0
	}
	return occupied(values[:])
}

// occupied sums up the bytes that were received, those reserved for either direction, which may be negative, and those to be
// sent, in the values of linux/sock_diag.h.
func occupied(values []uint32) (sum int64) {
	const received, reserved, sending = 0, 4, 5
	for _, at := range []int{received, reserved, sending} {
		sum += int64(int32(values[at]))
	}
	return sum
}

// tcpSockets returns the machine's TCP sockets.
func tcpSockets(t testing.TB) []tcpSocket {
	return append(tcpSocketsOf(t, syscall.AF_INET), tcpSocketsOf(t, syscall.AF_INET6)...)
}

func tcpSocketsOf(t testing.TB, family byte) (list []tcpSocket) {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_NETLINK, syscall.SOCK_RAW|syscall.SOCK_CLOEXEC, syscall.NETLINK_INET_DIAG)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = syscall.Close(fd) }()
	q := binary.NativeEndian.AppendUint32(nil, syscall.NLMSG_HDRLEN+diagRequestSize)
	q = binary.NativeEndian.AppendUint16(q, diagByFamily)
	q = binary.NativeEndian.AppendUint16(q, syscall.NLM_F_REQUEST|syscall.NLM_F_DUMP)
	q = append(q, make([]byte, 8)...)
	q = append(q, family, syscall.IPPROTO_TCP, 1<<(diagMemory-1), 0)
	q = binary.NativeEndian.AppendUint32(q, ^uint32(0))
	q = append(q, make([]byte, diagRequestSize-8)...)
	if err := syscall.Sendto(fd, q, 0, &syscall.SockaddrNetlink{Family: syscall.AF_NETLINK}); err != nil {
		t.Fatal(err)
	}
	buf := make([]byte, 64<<10)
	for {
		n, _, err := syscall.Recvfrom(fd, buf, 0)
		if err != nil {
			t.Fatal(err)
		}
		messages, err := syscall.ParseNetlinkMessage(buf[:n])
		if err != nil {
			t.Fatal(err)
		}
		for i := range messages {
			m := &messages[i]
			if m.Header.Type != diagByFamily || len(m.Data) < diagMessageSize {
				return list
			}
			list = append(list, tcpSocket{
				inode: binary.NativeEndian.Uint32(m.Data[diagInode:]), local: binary.BigEndian.Uint16(m.Data[diagLocalPort:]),
				remote: binary.BigEndian.Uint16(m.Data[diagRemotePort:]), listens: m.Data[1] == tcpListen, memory: socketMemory(m.Data[diagMessageSize:]),
			})
		}
	}
}

// socketMemory returns the bytes that a socket occupies, from the attributes of its message.
func socketMemory(attributes []byte) int64 {
	const header = 4
	for len(attributes) >= header {
		size := int(binary.NativeEndian.Uint16(attributes))
		if size < header || size > len(attributes) {
			return 0
		}
		if binary.NativeEndian.Uint16(attributes[2:]) == diagMemory && size >= header+4*memoryValues {
			var values [memoryValues]uint32
			for n := range values {
				values[n] = binary.NativeEndian.Uint32(attributes[header+4*n:])
			}
			return occupied(values[:])
		}
		attributes = attributes[min(len(attributes), (size+3)&^3):]
	}
	return 0
}

// unreadBytes is what the tests below leave unread on each of unreadConns connections.
const unreadBytes, unreadConns = 256 << 10, 64

// leaveUnread returns connections whose bytes nobody reads.
func leaveUnread(t *testing.T, ln net.Listener) (conns []net.Conn) {
	for range unreadConns {
		c, err := net.Dial("tcp4", ln.Addr().String())
		if err == nil {
			_, err = c.Write(make([]byte, unreadBytes))
		}
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		conns = append(conns, c)
		accepted, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = accepted.Close() })
	}
	return conns
}

// fillSockets is the environment variable that has a process of the test binary hold unread bytes until its input ends.
const fillSockets = "SARDINEDOCK_TEST_FILL_SOCKETS"

// The kernel's memory for the connections of other processes counted as that of the test, which failed beside them.
func TestKernelBytesAreThoseOfThisProcess(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	if os.Getenv(fillSockets) != "" {
		leaveUnread(t, ln)
		_, _ = os.Stdout.WriteString("\nfilled\n")
		_, _ = os.Stdin.Read(make([]byte, 1))
		return
	}
	const all, noise = unreadBytes * unreadConns, 4 << 20
	ports := listeningPorts(t)
	before := ports.kernelBytes(t)
	other := exec.Command(os.Args[0], "-test.run=^TestKernelBytesAreThoseOfThisProcess$")
	other.Env = append(os.Environ(), fillSockets+"=1")
	in, err := other.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	out, err := other.StdoutPipe()
	if err == nil {
		err = other.Start()
	}
	if err != nil {
		t.Fatal(err)
	}
	lines := bufio.NewScanner(out)
	for lines.Scan() && lines.Text() != "filled" {
	}
	if got := ports.kernelBytes(t); got > before+noise {
		t.Errorf("%d bytes counted that another process does not read", got-before)
	}
	_ = in.Close()
	_ = other.Wait()
	conns := leaveUnread(t, ln)
	if got := ports.kernelBytes(t); got < before+all {
		t.Errorf("%d bytes counted of %d that this process does not read", got-before, all)
	}
	// What the kernel still holds counts too if the connection was reset, and if it is closed at this end.
	for n, c := range conns {
		if n%2 == 0 {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
		_ = c.Close()
	}
	if got := ports.kernelBytes(t); got < before+all*3/4 {
		t.Errorf("%d bytes counted of %d after the writers have closed or reset the connections", got-before, all)
	}
}
