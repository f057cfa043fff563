package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	// firstCrowdSeed is the first seed with crowds of clients that hold unfinished requests, at instances with little memory.
	firstCrowdSeed = 210000
	// crowdSize is the number of clients at a time.
	crowdSize = 100
	// crowdBody is below the limit of bodies in the records.
	crowdBody = 2 * largeBody
)

// crowdFault has a crowd call one instance, or each in turn, for the duration of the fault. Its clients come back when they are closed.
var crowdFault = fault{"clients hold unfinished requests", func(s *soak, rng *rand.Rand, duration time.Duration) {
	end := time.Now().Add(duration)
	first, all := rng.IntN(len(s.instances)), rng.IntN(2) == 0
	var wg sync.WaitGroup
	for n := range crowdSize {
		to, way := s.instances[first], rng.IntN(len(crowdWays))
		if all {
			to = s.instances[(first+n)%len(s.instances)]
		}
		wg.Go(func() {
			for time.Now().Before(end) {
				holdUnfinished(to.listen[0], crowdWays[way], end)
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	wg.Wait()
}}

// crowdWay is what a client sends at first, and then again and again.
type crowdWay struct{ head, repeated string }

var crowdWays = []crowdWay{
	{"", ""},
	{"P", "O"},
	{"POST /stock/x HTTP/1.1\r\nHost: " + host + "\r\nX-Long: " + strings.Repeat("x", 12<<10), "x"},
	{crowdHead(fmt.Sprintf("Content-Length: %d", crowdBody)) + strings.Repeat("b", crowdBody-1000), "b"},
	{crowdHead("Expect: 100-continue\r\nContent-Length: 50000"), ""},
	{crowdHead("Transfer-Encoding: chunked"), "1\r\nb\r\n"},
	{crowdHead("Transfer-Encoding: chunked") + "8000\r\n" + strings.Repeat("b", 30_000), "b"},
	{crowdHead("Transfer-Encoding: chunked") + "4;", "x"},
	{crowdHead("Content-Length: 67108864"), strings.Repeat("b", 16<<10)},
}

func crowdHead(field string) string {
	return "POST /stock/x HTTP/1.1\r\nHost: " + host + "\r\nSardinedock-Request-Id: crowd\r\nAuthorization: Bearer " + openOrg + "-key-0\r\n" + field + "\r\n\r\n"
}

// holdUnfinished opens a connection and keeps it until the instance closes it or the crowd leaves.
func holdUnfinished(address string, way crowdWay, end time.Time) {
	const pause = 100 * time.Millisecond
	c, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(end)
	if _, err := c.Write([]byte(way.head)); err != nil {
		return
	}
	for time.Now().Before(end) {
		time.Sleep(pause)
		if _, err := c.Write([]byte(way.repeated)); err != nil {
			return
		}
	}
}
