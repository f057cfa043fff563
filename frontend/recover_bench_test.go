package frontend_test

import (
	"testing"
	"time"

	"github.com/sardinedock/sardinedock/emulator"
)

// BenchmarkBreak measures the pause that a caller sees when the connection or the engine fails
// after the first piece: the longest gap between two pieces, compared with "none", where
// nothing fails. The silence timeout is 300 ms here.
func BenchmarkBreak(b *testing.B) {
	faults := map[string]func(e *emulator.Engine){
		"none":   func(*emulator.Engine) {},
		"cut":    func(e *emulator.Engine) { e.CutOpen() },
		"silent": func(e *emulator.Engine) { e.StallOpen() },
		"crash":  func(e *emulator.Engine) { go e.Crash(2 * time.Second) },
		"cross":  func(e *emulator.Engine) { e.SetFaults(emulator.EngineFaults{CrossNext: 1}) },
	}
	for name, fault := range faults {
		b.Run(name, func(b *testing.B) {
			var worst time.Duration
			for range b.N {
				worst += longestGap(b, fault)
			}
			b.ReportMetric(float64(worst.Microseconds())/1000/float64(b.N), "ms/break")
		})
	}
}

func longestGap(b *testing.B, fault func(e *emulator.Engine)) time.Duration {
	r := newFixture(b, fixtureConfig{engines: 2, engine: emulator.EngineConfig{Pace: 4}})
	rd := r.startStream(b, prompt, 30, nil)
	rd.piece()
	fault(r.engineOf(rd.resp))
	var worst time.Duration
	for last := time.Now(); rd.piece(); {
		now := time.Now()
		worst = max(worst, now.Sub(last))
		last = now
	}
	rd.wantComplete(prompt, 30)
	return worst
}
