package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"sync"
	"syscall"
	"time"
)

// Bounds of a small deployment (kff-accra), as its sheet states them.
const (
	contactTime = 3000 * time.Millisecond
	configTime  = 2000 * time.Millisecond
	heartbeat   = 1200 * time.Millisecond
)

// router is one machine with one process of the deploy file.
type router struct {
	name, zone, ip       string
	front, ready, gossip string
	// dir is the folder of its settings file and its log.
	dir string

	mu      sync.Mutex
	process *os.Process
	exited  chan struct{}
	// misses counts the failed readiness checks in a row.
	misses int
}

// leftOut is after how many missed checks a machine gets no new connections.
const leftOut = 2

var placeholder = regexp.MustCompile(`\{\{([A-Za-z0-9.]+)(\|json)?\}\}`)

// settings fills in the project's template as the platform does.
func (r *router) settings(projectTemplate, store string) string {
	_, port, err := net.SplitHostPort(r.gossip)
	if err != nil {
		fatal("%v", err)
	}
	var fields any
	text := fill("settings.json", map[string]any{
		"Name": r.name, "Zone": r.zone, "IP": r.ip, "GossipPort": port, "Bootstrap": true, "HeartbeatMs": heartbeat.Milliseconds(),
		"Front": r.front, "Ready": r.ready, "Store": store,
	})
	if err := json.Unmarshal([]byte(text), &fields); err != nil {
		fatal("settings: %v", err)
	}
	return placeholder.ReplaceAllStringFunc(projectTemplate, func(p string) string {
		m := placeholder.FindStringSubmatch(p)
		value, err := lookUp(fields, m[1])
		if err != nil {
			fatal("settings: %v", err)
		}
		if m[2] == "" {
			return fmt.Sprint(value)
		}
		data, err := json.Marshal(value)
		if err != nil {
			fatal("settings: %v", err)
		}
		return string(data)
	})
}

// start starts the process with the command of the deploy file.
func (r *router) start(root, projectTemplate, store string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	path := filepath.Join(r.dir, r.name+".yaml")
	if err := os.WriteFile(path, []byte(r.settings(projectTemplate, store)), 0o600); err != nil {
		fatal("write settings: %v", err)
	}
	out, err := os.OpenFile(filepath.Join(r.dir, r.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fatal("log of %s: %v", r.name, err)
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command(filepath.Join(root, "target", "sardinedock"), "host")
	cmd.Dir, cmd.Stdout, cmd.Stderr = root, out, out
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "SARDINEDOCK_CONFIG=" + path}
	if err := cmd.Start(); err != nil {
		fatal("start %s: %v", r.name, err)
	}
	exited := make(chan struct{})
	r.process, r.exited = cmd.Process, exited
	note("%s started", r.name)
	go func() {
		_ = cmd.Wait()
		note("%s ended: %v", r.name, cmd.ProcessState)
		close(exited)
	}()
}

// kill kills the process and waits for its end.
func (r *router) kill() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.process != nil {
		_ = r.process.Signal(syscall.SIGKILL)
		<-r.exited
	}
}

// check asks once whether the machine is ready.
func (r *router) check() {
	const patience = 500 * time.Millisecond
	client := http.Client{Timeout: patience, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + r.ready + wire.Paths["ready"])
	if err == nil {
		_ = resp.Body.Close()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.misses++; err == nil && resp.StatusCode == http.StatusOK {
		r.misses = 0
	}
}

// missed returns how many readiness checks in a row have failed.
func (r *router) missed() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.misses
}

// freeAddress returns an address at which a port is free for TCP and UDP.
func freeAddress(ip string) string {
	const tries = 100
	for range tries {
		ln, err := net.Listen("tcp4", net.JoinHostPort(ip, "0"))
		if err != nil {
			fatal("no free port at %s: %v", ip, err)
		}
		address := ln.Addr().String()
		udp, err := net.ListenPacket("udp4", address)
		_ = ln.Close()
		if err == nil {
			_ = udp.Close()
			return address
		}
	}
	fatal("no free port at %s", ip)
	return ""
}
