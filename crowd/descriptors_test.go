//go:build linux

package crowd

import (
	"fmt"
	"strings"
	"testing"
)

const (
	// maxDescriptors is the limit of the process's descriptors, descriptorsBound how many of them it may use: an eighth stays free
	// for what an instance opens beside the connections of callers.
	maxDescriptors   = 256
	descriptorsBound = maxDescriptors * 7 / 8
	// manyClients is more than all descriptors.
	manyClients = 400
)

var descriptorCrowds = []crowdCase{
	{"connections without a byte", func(*site, *client) {}, nil},
	{"a byte of a head each", func(_ *site, c *client) { c.send("P") }, func(c *client) { c.trickle("O", tricklePause) }},
	{"empty lines before a request", func(_ *site, c *client) { c.send("\r\n") }, func(c *client) { c.trickle("\r\n", tricklePause) }},
	{"heads without their end", func(_ *site, c *client) {
		c.send("POST /stock/x HTTP/1.1\r\nHost: " + callersHost + "\r\nX-Long: ")
	}, func(c *client) { c.trickle("x", tricklePause) }},
	{"bodies of a kilobyte without their end", func(s *site, c *client) {
		c.send(s.head("POST", "/stock/x", "Content-Length: 1024"))
	}, func(c *client) { c.trickle("b", tricklePause) }},
	{"answered, then idle", func(s *site, c *client) { c.send(s.head("GET", "/nowhere/")) }, nil},
}

// Guards against callers' connections that use up the descriptors, so that the instance reaches neither endpoints nor the store and
// is not ready.
func TestConnectionsOfCallersLeaveDescriptorsFree(t *testing.T) {
	for _, tt := range descriptorCrowds {
		t.Run(tt.name, func(t *testing.T) {
			s := startSite(t, siteConfig{memoryMb: memoryMb, descriptors: maxDescriptors})
			stay := tt.stay
			if stay == nil {
				stay = (*client).hold
			}
			c := newCrowd(t, s.callers, manyClients, func(x *client) { tt.send(s, x) }, stay)
			c.arrived()
			s.ordinary("beside the crowd")
			s.readyOnce("beside the crowd")
			if n := s.descriptors(); n > descriptorsBound {
				t.Errorf("%d of %d descriptors are open, at most %d may be", n, maxDescriptors, descriptorsBound)
			}
			c.leave()
			s.ordinary("after the crowd")
			s.checkMemory(memoryMb)
		})
	}
}

// Guards against connections to the addresses of readiness and metrics that use up the descriptors.
func TestConnectionsToReadinessAndMetricsLeaveDescriptorsFree(t *testing.T) {
	s := startSite(t, siteConfig{memoryMb: memoryMb, descriptors: maxDescriptors})
	for _, address := range []string{s.ready, s.metrics} {
		c := newCrowd(t, address, manyClients, func(c *client) { c.send("G") }, func(c *client) { c.trickle("E", tricklePause) })
		c.arrived()
		s.ordinary("beside the crowd")
		s.readyOnce("beside the crowd")
		if n := s.descriptors(); n > descriptorsBound {
			t.Errorf("%d of %d descriptors are open, at most %d may be", n, maxDescriptors, descriptorsBound)
		}
		c.leave()
	}
}

// Guards against a read buffer of full size for each unfinished head.
func TestUnfinishedHeadsStayWithinTheMemory(t *testing.T) {
	const (
		heads = 1200
		// lineBytes fills a head up to a kilobyte below its limit.
		lineBytes = maxHeaderBytes - 1<<10
	)
	s := startSite(t, siteConfig{memoryMb: memoryMb})
	c := newCrowd(t, s.callers, heads, func(c *client) {
		c.send(fmt.Sprintf("POST /stock/x HTTP/1.1\r\nHost: %s\r\nX-Long: %s", callersHost, strings.Repeat("x", lineBytes)))
	}, func(c *client) { c.trickle("x", tricklePause) })
	c.arrived()
	s.ordinary("beside the crowd")
	s.readyOnce("beside the crowd")
	c.leave()
	s.ordinary("after the crowd")
	s.checkMemory(memoryMb)
}
