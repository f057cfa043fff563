package demo

import (
	"cmp"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/sardinedock/sardinedock/emulator"
	"github.com/sardinedock/sardinedock/prefix"
	"github.com/sardinedock/sardinedock/schema/loadpb"
)

// request is one request of a caller, which may take several attempts.
type request struct {
	number int
	work   *loadpb.Work
	caller *loadpb.LoadCaller
	due    time.Duration
	prompt string
	chat   bool
	stream bool
	poison bool
	// key is the Idempotency-Key; empty for requests that may be repeated.
	key string
	// resend says whether the caller sends the request a second time without having seen an error.
	resend resendKind
	// hangUp is the time after which the caller closes its first connection; 0 means never.
	hangUp time.Duration
	// stop is where the caller stops reading its first answer.
	stop readingStop
}

// readingStop is a caller's pause in reading an answer. The zero value is none.
type readingStop struct {
	// after is the number of bytes of the body that the caller has read then.
	after int
	pause time.Duration
}

// maxReadBeforeStop bounds the bytes of a body that a caller reads before it stops. It is about the
// size of ten events, so that most answers are not complete by then.
const maxReadBeforeStop = 2048

// maxHangUp bounds the time after which a caller closes its connection.
const maxHangUp = 600 * time.Millisecond

// resendKind is the time at which a caller sends a request a second time.
type resendKind int

const (
	resendNever resendKind = iota
	resendAtOnce
	resendAfterwards
)

// workload draws requests. They depend on the load alone, so that runs with the same load send the
// same requests.
type workload struct {
	load  *loadpb.Load
	texts textCache
	// poisonShare is the share of the requests to engines that crash them.
	poisonShare float64
}

// dueTimes draws the times at which the requests are due, in ascending order.
func (w *workload) dueTimes() []time.Duration {
	l := w.load
	rng := rand.New(rand.NewPCG(uint64(l.GetSeed()), 11))
	total := time.Duration(l.GetSeconds()) * time.Second
	count := min(int64(float64(l.GetSeconds())*l.GetRequestsPerSecond()), l.GetMaxRequests())
	period := time.Duration(l.GetBursts().GetPeriodMs()) * time.Millisecond
	length := time.Duration(l.GetBursts().GetLengthMs()) * time.Millisecond
	due := make([]time.Duration, count)
	for i := range due {
		if period > 0 && rng.Float64() < l.GetBursts().GetShare() {
			bursts := int64((total + period - 1) / period)
			due[i] = min(time.Duration(rng.Int64N(bursts))*period+time.Duration(rng.Int64N(int64(length))), total)
		} else {
			due[i] = time.Duration(rng.Int64N(int64(total)))
		}
	}
	sort.Slice(due, func(i, j int) bool { return due[i] < due[j] })
	return due
}

// arrival is the time at which a request is due. caller is set if it is one of an organisation's
// further requests in a time of excess.
type arrival struct {
	number int
	due    time.Duration
	caller *loadpb.LoadCaller
}

// arrivals returns the requests in the order in which they are due, with those of organisations
// that ask for more than their part. The other requests are the same without them.
func (w *workload) arrivals() []arrival {
	var list []arrival
	for n, due := range w.dueTimes() {
		list = append(list, arrival{number: n, due: due})
	}
	sum := 0.0
	for _, c := range w.load.GetCallers() {
		sum += c.GetWeight()
	}
	rng := rand.New(rand.NewPCG(uint64(w.load.GetSeed()), 12))
	total := time.Duration(w.load.GetSeconds()) * time.Second
	for _, c := range w.load.GetCallers() {
		x := c.GetExcess()
		from := min(time.Duration(x.GetFromMs())*time.Millisecond, total)
		length := min(time.Duration(x.GetLengthMs())*time.Millisecond, total-from)
		further := (x.GetFactor() - 1) * c.GetWeight() / sum * w.load.GetRequestsPerSecond() * length.Seconds()
		for n := 0; float64(n) < further && int64(len(list)) < w.load.GetMaxRequests(); n++ {
			list = append(list, arrival{number: len(list), due: from + time.Duration(rng.Int64N(int64(length))), caller: c})
		}
	}
	slices.SortStableFunc(list, func(a, b arrival) int { return cmp.Compare(a.due, b.due) })
	return list
}

// draw returns request number n.
func (w *workload) draw(n int, due time.Duration) *request {
	return w.drawArrival(arrival{number: n, due: due})
}

// drawArrival returns the request of an arrival.
func (w *workload) drawArrival(a arrival) *request {
	n, due := a.number, a.due
	rng := rand.New(rand.NewPCG(uint64(w.load.GetSeed()), uint64(n)+1000))
	r := &request{number: n, due: due}
	r.caller = pick(rng, w.load.GetCallers())
	if a.caller != nil {
		r.caller = a.caller
	}
	r.work = pick(rng, w.load.GetWork())
	r.chat = w.usesChat(r)
	r.stream = rng.Float64() >= r.work.GetWhole()
	if rng.Float64() < r.work.GetResend() {
		r.resend = resendAtOnce + resendKind(rng.IntN(2))
	}
	if r.work.GetNonIdempotent() {
		r.key = fmt.Sprintf("%s-%d-%d", r.work.GetName(), w.load.GetSeed(), n)
	}
	r.poison = r.work.GetModel() != "" && rng.Float64() < w.poisonShare
	if rng.Float64() < r.work.GetHangUp() {
		r.hangUp = 1 + time.Duration(rng.Int64N(int64(maxHangUp)))
	}
	r.prompt = w.prompt(rng, r)
	if rng.Float64() < r.work.GetStopReading() {
		r.stop = readingStop{rng.IntN(maxReadBeforeStop), time.Duration(r.work.GetStopReadingMs()) * time.Millisecond}
	}
	return r
}

// usesChat reports whether the organisation's client sends this work as chat. One client uses one
// path, since the two frame the same text differently, so that cached prefixes are not shared
// between them.
func (w *workload) usesChat(r *request) bool {
	h := fnv.New32a()
	_, _ = h.Write([]byte(r.work.GetName() + "/" + r.caller.GetOrganisation()))
	share := float64(h.Sum32()%1000) / 1000
	return share < r.work.GetChat()
}

// weighted is a list item that is picked in proportion to its weight.
type weighted interface{ GetWeight() float64 }

// pick draws an item of the list in proportion to the weights.
func pick[T weighted](rng *rand.Rand, list []T) T {
	sum := 0.0
	for _, item := range list {
		sum += item.GetWeight()
	}
	at := rng.Float64() * sum
	for _, item := range list {
		at -= item.GetWeight()
		if at < 0 {
			return item
		}
	}
	return list[len(list)-1]
}

// prompt joins the texts that requests share, from the most to the least widely shared, and the
// request's own text.
func (w *workload) prompt(rng *rand.Rand, r *request) string {
	work, organisation := r.work, r.caller.GetOrganisation()
	family := zipf(rng, work.GetZipf(), work.GetFamilies())
	if period := w.load.GetBursts().GetPeriodMs(); period > 0 {
		burst := r.due.Milliseconds() / period
		family = (family + burst*w.load.GetBursts().GetHotShift()) % work.GetFamilies()
	}
	customer := zipf(rng, work.GetZipf(), work.GetCustomers())
	var b strings.Builder
	b.WriteString(w.texts.text("company "+organisation, work.GetCompanyTokens()))
	b.WriteString(w.texts.text(fmt.Sprintf("family %d", family), work.GetFamilyTokens()))
	b.WriteString(w.texts.text(fmt.Sprintf("customer %s %d", organisation, customer), work.GetCustomerTokens()))
	b.WriteString(makeText(fmt.Sprintf("request %d", r.number), work.GetOwnTokens()))
	if r.poison {
		b.WriteString(emulator.PoisonText)
	}
	return b.String()
}

// zipf draws a number from 0 to n-1 with a Zipf distribution.
func zipf(rng *rand.Rand, exponent float64, n int64) int64 {
	return int64(rand.NewZipf(rng, exponent, 1, uint64(n-1)).Uint64())
}

// maxTexts bounds the cached texts.
const maxTexts = 4096

// textCache caches the texts that many prompts share.
type textCache struct {
	mu    sync.Mutex
	texts map[textKey]string
}

type textKey struct {
	name   string
	tokens int64
}

func (c *textCache) text(name string, tokens int64) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := textKey{name, tokens}
	if text, ok := c.texts[key]; ok {
		return text
	}
	text := makeText(name, tokens)
	if c.texts == nil || len(c.texts) >= maxTexts {
		c.texts = map[textKey]string{}
	}
	c.texts[key] = text
	return text
}

// makeText returns a text of about the given number of tokens that is unique to the name.
func makeText(name string, tokens int64) string {
	var b strings.Builder
	length := int(tokens * prefix.BytesPerToken)
	for line := 0; b.Len() < length; line++ {
		fmt.Fprintf(&b, "%s, line %d: M%d, grade %d.%d, pack of %d\n", name, line, 3+line%33, 4+line%9, line%10, 10+line*7%990)
	}
	return b.String()[:length]
}

// markerName returns the name under which the endpoints count an attempt. Attempts of a request
// that must not run twice, or that crashes engines, share one. Other attempts have one each, so
// that a refusal can be checked against the runs.
func (r *request) markerName(seed int64, attempt int) string {
	if r.key != "" || r.poison {
		attempt = 0
	}
	return fmt.Sprintf("%s/%d-%d-%d", r.work.GetName(), seed, r.number, attempt)
}

// chatBody and completionBody are the request bodies that ordinary clients send.
type chatBody struct {
	Model     string             `json:"model"`
	Messages  []emulator.Message `json:"messages"`
	MaxTokens int64              `json:"max_tokens"`
	Stream    bool               `json:"stream"`
}

type completionBody struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int64  `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// call is one attempt as it is sent, with the answer that is expected.
type call struct {
	path   string
	body   []byte
	header [][2]string
	stream bool
	want   string
	// stop is where the caller stops reading the answer.
	stop readingStop
}

// build returns the call for an attempt.
func (r *request) build(marker string) (call, error) {
	work := r.work
	c := call{stream: r.stream && work.GetModel() != ""}
	c.header = append(c.header, [2]string{"Authorization", "Bearer " + r.caller.GetKey()})
	if work.GetClass() != "" {
		c.header = append(c.header, [2]string{headerClass, work.GetClass()})
	}
	if r.key != "" {
		c.header = append(c.header, [2]string{"Idempotency-Key", r.key})
	}
	text := r.prompt + emulator.Marker(marker)
	if work.GetModel() == "" {
		c.path, c.body = work.GetServicePath(), []byte(text)
		path := "/" + strings.TrimPrefix(work.GetServicePath(), work.GetServicePrefix())
		c.want = emulator.ServiceAnswer("POST", path, c.body)
		return c, nil
	}
	var body any = completionBody{work.GetModel(), text, work.GetMaxTokens(), r.stream}
	c.path = "/v1/completions"
	if r.chat {
		messages := []emulator.Message{{Role: "user", Content: text}}
		body = chatBody{work.GetModel(), messages, work.GetMaxTokens(), r.stream}
		c.path, text = "/v1/chat/completions", emulator.ChatPrompt(messages)
	}
	c.want = strings.Join(emulator.Answer(text, int(work.GetMaxTokens())), "")
	var err error
	c.body, err = json.Marshal(body)
	return c, err
}
