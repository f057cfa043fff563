package main

import "time"

// endsToBreak is how often processes have to end by themselves on each of machinesToBreak machines for the rule to be broken.
const endsToBreak, machinesToBreak = 3, 2

// endedOften reports whether processes have ended often enough for the rule to be broken.
func (l *lab) endedOften() bool {
	machines := 0
	for _, p := range l.processes {
		if int(p.overMemory.Load())+p.endedByItself() >= endsToBreak {
			machines++
		}
	}
	return machines >= machinesToBreak
}

// limitMemory kills the process when it exceeds limitMb and starts it again, as the platform does, until stop is closed.
func (p *process) limitMemory(limitMb float64, stop chan struct{}) {
	const restartDelay = 300 * time.Millisecond
	for {
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		used := p.memory("VmRSS")
		if p.kernelBytes != nil {
			used += float64(p.kernelBytes()) / (1 << 20)
		}
		p.peakMb = max(p.peakMb, used)
		if used <= limitMb {
			continue
		}
		p.lab.record("%s has %.0f MB of %.0f: killed, time %d", p.name, used, limitMb, p.overMemory.Add(1))
		p.kill()
		time.Sleep(restartDelay)
		if p.start() != nil {
			return
		}
	}
}
