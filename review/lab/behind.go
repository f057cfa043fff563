package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sardinedock/sardinedock/platform/platformtest"
)

func init() { scenarios["behind"] = playBehind }

const (
	// behindClients send on one connection each, in turn to the instances: a call with a body of behindFirst bytes, a stream of
	// behindEvents events, ten a second, and a call with a body of behindLast bytes, for behindTime.
	behindClients = 450
	behindFirst   = 2 << 20
	behindEvents  = 100
	behindLast    = 4<<20 - 1<<10
	behindTime    = 90 * time.Second
)

// unreadBytes returns how many bytes the kernel holds that the process has received from its callers and not read.
func (p *process) unreadBytes() int64 {
	_, port, _ := net.SplitHostPort(p.callers)
	n, _ := strconv.Atoi(port)
	suffix := fmt.Sprintf(":%04X", n)
	data, _ := os.ReadFile("/proc/net/tcp")
	sum := int64(0)
	for line := range strings.SplitSeq(string(data), "\n") {
		f := strings.Fields(line)
		const local, state, queues, established, closeWait = 1, 3, 4, "01", "08"
		if len(f) <= queues || !strings.HasSuffix(f[local], suffix) || f[state] != established && f[state] != closeWait {
			continue
		}
		_, unread, _ := strings.Cut(f[queues], ":")
		bytes, _ := strconv.ParseInt(unread, 16, 64)
		sum += bytes
	}
	return sum
}

// playBehind has clients send a large request behind one that is being answered.
func playBehind(l *lab) (broken bool, err error) {
	records := platformtest.Records(3, host, model)
	records[l.wire["organisations"]] = []any{map[string]any{"name": "kumasi", l.wire["keys"]: []string{"key-one"}, "priority": 0}}
	records["services"].([]any)[1].(map[string]any)["engine"].(map[string]any)[l.wire["capacity"]] = kvTokens
	records["limits"].(map[string]any)[l.wire["max body"]] = 4 << 20
	for _, r := range records["routes"].([]any) {
		r.(map[string]any)[l.wire["timeout"]] = 15000
	}
	l.store.Put("config", "main", records)
	var servers []*modelServer
	for k := range modelServers + 3 {
		ln, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return false, err
		}
		s := &outputServer{&modelServer{lab: l, id: fmt.Sprintf("i-%d", k), address: ln.Addr().String(), cached: map[[2]string]int{}, next: 1, changed: make(chan struct{})}}
		servers = append(servers, s.modelServer)
		go func() { _ = http.Serve(ln, s) }()
		service, versions := "pool", map[string]int64{model: 1}
		if k >= modelServers {
			service, versions = "orders", map[string]int64{}
		}
		e := platformtest.EntryAt(s.address, service, "ready", versions)
		e["slots"] = flightSlots
		l.store.Put("servers", s.id, e)
	}
	for k := range instances {
		p, err := l.instance(k, memoryMb)
		if err != nil {
			return false, err
		}
		p.kernelBytes = p.unreadBytes
		if err := p.start(); err != nil {
			return false, err
		}
	}
	for _, p := range l.processes {
		if err := p.awaitReady(10 * time.Second); err != nil {
			return false, err
		}
	}
	var limiters sync.WaitGroup
	stop := make(chan struct{})
	for _, p := range l.processes {
		limiters.Go(func() { p.limitMemory(memoryMb, stop) })
	}
	var connections, behind atomic.Int64
	for k := range behindClients {
		go func() {
			time.Sleep(time.Duration(rand.IntN(8000)) * time.Millisecond)
			for time.Since(l.began) < behindTime && !l.endedOften() {
				connections.Add(1)
				if l.behind(l.processes[k%len(l.processes)].callers) {
					behind.Add(1)
				}
				time.Sleep(time.Second)
			}
		}()
	}
	for n := 0; time.Since(l.began) < behindTime && !l.endedOften(); n++ {
		time.Sleep(time.Second)
		if n%5 == 0 {
			for _, p := range l.processes {
				l.record("%s occupies %.0f MB, and the kernel holds %.0f MB that it has not read", p.name, p.memory("VmRSS"), float64(p.unreadBytes())/(1<<20))
			}
		}
	}
	close(stop)
	limiters.Wait()
	for _, p := range l.processes {
		l.record("%s: peak %.0f of %d MB, killed for its memory %d times, ended by itself %d times", p.name, p.peakMb, memoryMb, p.overMemory.Load(), p.endedByItself())
	}
	l.recordRuns(servers)
	l.record("%d connections, %d of them with a large request that was sent before the stream had ended", connections.Load(), behind.Load())
	return l.endedOften(), nil
}

// behind sends the requests of one connection. It reports whether the last one was sent while the stream was running.
func (l *lab) behind(address string) bool {
	c, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return false
	}
	defer func() { _ = c.Close() }()
	const patience = 14 * time.Second
	_ = c.SetDeadline(time.Now().Add(2 * patience))
	call := func(size int) []byte {
		id := l.id()
		return l.request("POST", "/stock/"+id, id, patience, make([]byte, size))
	}
	if _, err := c.Write(call(behindFirst)); err != nil {
		return false
	}
	buf := make([]byte, 16<<10)
	n, err := c.Read(buf)
	const ok = 200
	if err != nil || statusOf(buf[:n]) != ok {
		return false
	}
	id := l.id()
	if _, err := c.Write(l.request("POST", "/draft/"+id, id, patience, []byte("a body"), l.wire["model"]+": "+model,
		fmt.Sprintf("%s: 2368,%d", l.wire["usage"], behindEvents), fmt.Sprintf("%s: c1:568,%x:1800", l.wire["prefix"], rand.Uint32()))); err != nil {
		return false
	}
	if n, err = c.Read(buf); err != nil || statusOf(buf[:n]) != ok {
		return false
	}
	if l.trouble {
		go func() { _, _ = c.Write(call(behindLast)) }()
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(c, 4<<20))
	return l.trouble
}
