package account

import (
	"io"
	"slices"
	"strings"
	"time"

	"github.com/wcharczuk/go-chart/v2"
)

// The size of a plot in pixels.
const (
	plotWidth  = 1100
	plotHeight = 500
	plotMargin = 40
)

// Plot draws, for each second, the requests, refusals, queued prompt work and time to the
// first token. The format is PNG if name ends in .png, otherwise SVG.
func (l *Log) Plot(out io.Writer, name string) error {
	windows := l.ByWindow(Options{Window: time.Second})
	var seconds, arrived, refused, ahead, first []float64
	for _, w := range windows {
		seconds = append(seconds, w.From.Seconds())
		arrived = append(arrived, float64(w.servable()))
		refused = append(refused, float64(w.Count[RefusedForWork]+w.Count[RefusedForMemory]+w.Count[RefusedForSlots]+w.Count[OverQuota]+w.Count[RefusedOther]))
		a, f := l.promptLoad(w.From)
		ahead = append(ahead, a)
		first = append(first, f)
	}
	graph := chart.Chart{
		Width: plotWidth, Height: plotHeight,
		Background:     chart.Style{Padding: chart.Box{Top: plotMargin, Left: plotMargin, Right: plotMargin, Bottom: plotMargin}},
		XAxis:          chart.XAxis{Name: "second"},
		YAxis:          chart.YAxis{Name: "requests a second; first token, ms"},
		YAxisSecondary: chart.YAxis{Name: "prompt work before, tokens"},
		Series: []chart.Series{
			chart.ContinuousSeries{Name: "came", XValues: seconds, YValues: arrived},
			chart.ContinuousSeries{Name: "refused", XValues: seconds, YValues: refused},
			chart.ContinuousSeries{Name: "first token, 95 in 100 within ms", XValues: seconds, YValues: first},
			chart.ContinuousSeries{Name: "work before, mean", YAxis: chart.YAxisSecondary, XValues: seconds, YValues: ahead},
		},
	}
	graph.Elements = []chart.Renderable{chart.LegendThin(&graph)}
	if strings.HasSuffix(name, ".png") {
		return graph.Render(chart.PNG, out)
	}
	return graph.Render(chart.SVG, out)
}

// firstTokenQuantile is the plotted quantile of the times to the first token.
const firstTokenQuantile = 0.95

// promptLoad returns, for the requests of the second that starts at from, the mean prompt work
// queued before each in tokens, and the firstTokenQuantile of the time to the first token in ms.
func (l *Log) promptLoad(from time.Duration) (ahead, first float64) {
	var sum, sent int64
	var firsts []time.Duration
	for _, q := range l.Requests {
		if q.ArrivedAt().Sub(l.Requests[0].ArrivedAt()).Truncate(time.Second) != from {
			continue
		}
		if q.Sends > 0 {
			sum += q.Ahead
			sent++
		}
		if q.First > 0 {
			firsts = append(firsts, q.First)
		}
	}
	if sent > 0 {
		ahead = float64(sum) / float64(sent)
	}
	if len(firsts) > 0 {
		slices.Sort(firsts)
		first = float64(firsts[int(firstTokenQuantile*float64(len(firsts)-1))].Milliseconds())
	}
	return ahead, first
}
