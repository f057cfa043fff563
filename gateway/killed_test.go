package gateway

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"
)

// killedEnv has the test binary run as the process that TestAnswerOfAKilledProcessIsReset kills.
const killedEnv = "GATEWAY_TEST_KILLED"

// writeUntilKilled accepts a connection, writes part of an answer without framing and waits to be killed.
func writeUntilKilled() {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	fmt.Println(ln.Addr())
	conn, err := ln.Accept()
	if err != nil {
		panic(err)
	}
	c := &callerConn{Conn: conn}
	c.resetOnClose(true)
	_, _ = c.Conn.Write([]byte("part"))
	time.Sleep(time.Minute)
}

// Guards against an answer without framing that looks complete since the instance that was passing it on has been
// killed: the kernel closes its connections in order otherwise.
func TestAnswerOfAKilledProcessIsReset(t *testing.T) {
	if os.Getenv(killedEnv) != "" {
		writeUntilKilled()
		return
	}
	cmd := exec.Command(os.Args[0], "-test.run=^TestAnswerOfAKilledProcessIsReset$")
	cmd.Env = append(os.Environ(), killedEnv+"=1")
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	address, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	c, err := net.Dial("tcp4", address[:len(address)-1])
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	part := make([]byte, 4)
	if _, err := io.ReadFull(c, part); err != nil {
		t.Fatal(err)
	}
	_ = cmd.Process.Kill()
	_ = cmd.Wait()
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := c.Read(part); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("%v, want a reset", err)
	}
}
