package gateway

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sardinedock/sardinedock/inbound"
)

// endedEnv has the test binary run as the process that TestEndOfAProcessTellsWhetherItsAnswersAreWhole ends; its value is the way.
const endedEnv = "GATEWAY_TEST_ENDED"

const endedAnswerBytes = 48 << 10

// writeUntilEnded accepts a connection, writes an answer without framing and ends in the given way.
func writeUntilEnded(way string) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	fmt.Println(ln.Addr())
	slow := NewSlowReaders(1 << 30)
	go slow.Run(context.Background())
	accepted, err := ln.Accept()
	if err != nil {
		panic(err)
	}
	c := (&listener{slow: slow, open: new(atomic.Int64), reading: &inbound.Config{}, conns: inbound.NewConnections(peerCaller, 0)}).newConn(accepted)
	c.beginUnframed("id")
	if _, err := c.Write(make([]byte, endedAnswerBytes)); err != nil {
		panic(err)
	}
	switch way {
	case "whole":
		c.endUnframed(nil, byEndpoint)
		_ = c.Close()
	case "panic":
		panic("a fault of the program")
	case "killed":
		_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
	}
	os.Exit(0)
}

// Guards against an answer without framing that looks complete since the instance that was passing it on has ended: the kernel
// closes its connections in order otherwise; and against a whole one that its caller has not read yet and that is reset by it.
func TestEndOfAProcessTellsWhetherItsAnswersAreWhole(t *testing.T) {
	if way := os.Getenv(endedEnv); way != "" {
		writeUntilEnded(way)
		return
	}
	for _, way := range []string{"killed", "exit", "panic", "whole"} {
		t.Run(way, func(t *testing.T) {
			cmd := exec.Command(os.Args[0], "-test.run=^TestEndOfAProcessTellsWhetherItsAnswersAreWhole$")
			cmd.Env = append(os.Environ(), endedEnv+"="+way)
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
			_ = c.(*net.TCPConn).SetReadBuffer(4 << 10)
			_ = cmd.Wait()
			_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
			n, err := io.Copy(io.Discard, c)
			switch {
			case way == "whole" && (n != endedAnswerBytes || err != nil):
				t.Errorf("%d of %d bytes and %v, want all and an orderly end", n, endedAnswerBytes, err)
			case way != "whole" && !errors.Is(err, syscall.ECONNRESET):
				t.Errorf("%d bytes and %v, want a reset", n, err)
			}
		})
	}
}

// Guards against a request that is on its way when its connection ends, and is read and discarded, so that its caller treats it as
// accepted; the reset states that it was not read.
func TestRequestThatCrossesTheEndOfItsConnectionIsNotRead(t *testing.T) {
	c, caller := connect(t, NewSlowReaders(1<<30))
	if _, err := caller.Write([]byte("POST /confirm HTTP/1.1\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	time.Sleep(20 * time.Millisecond)
	began := time.Now()
	_ = c.Close()
	_ = caller.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := caller.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) || time.Since(began) > lingerTimeout/2 {
		t.Errorf("%v after %v, want a reset at once", err, time.Since(began))
	}
}
