package hosted

import (
	"bufio"
	"net"
	"os"
	"os/exec"
	"strconv"
	"syscall"
	"testing"
	"unsafe"

	"github.com/sardinedock/sardinedock/internal/sockdiag"
)

// Socket options of linux/socket.h.
const soProtocol, soMeminfo = 38, 55

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
		if s.State == sockdiag.Listen && own[s.Inode] {
			listens[s.LocalPort] = true
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
		if s.Inode == 0 && (listens[s.LocalPort] || listens[s.RemotePort]) {
			sum += s.Memory
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
	var values [sockdiag.MemoryValues]uint32
	size := uint32(unsafe.Sizeof(values))
	_, _, failed := syscall.Syscall6(syscall.SYS_GETSOCKOPT, uintptr(fd), syscall.SOL_SOCKET, soMeminfo, uintptr(unsafe.Pointer(&values)), uintptr(unsafe.Pointer(&size)), 0)
	if failed != 0 {
		return 0
	}
	return sockdiag.Occupied(values)
}

// tcpSockets returns the machine's TCP sockets.
func tcpSockets(t testing.TB) []sockdiag.Socket {
	t.Helper()
	list, err := sockdiag.All()
	if err != nil {
		t.Fatal(err)
	}
	return list
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
