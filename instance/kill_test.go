package instance_test

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"testing"
)

// An instance crashes in the middle of an answer. Its caller must see a broken connection, not a
// regular end of the answer, and a new caller must be refused.
func TestKillBreaksCallerConnections(t *testing.T) {
	i := start(t)
	conn, err := net.Dial("tcp", i.Callers())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	body := `{"model":"counter","prompt":"twelve anchors","max_tokens":20,"stream":true}`
	fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", testKey, len(body), body)
	lines := bufio.NewScanner(conn)
	for lines.Scan() && !strings.HasPrefix(lines.Text(), "data: ") {
	}
	i.Kill()
	for lines.Scan() {
		if lines.Text() == "data: [DONE]" || lines.Text() == "0" {
			t.Fatal("the answer of a killed instance ended as if it were complete")
		}
	}
	if conn, err := net.Dial("tcp", i.Callers()); err == nil {
		_ = conn.Close()
		t.Fatal("a killed instance accepts callers")
	}
}
