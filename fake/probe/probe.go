// Package probe measures what an instance adds to a request: the time to the first
// token and the requests a second, side by side with the stand-in engine asked
// directly in the same run, and the memory of an open stream.
package probe

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"cranberryrail/fake/engine"
	"cranberryrail/fake/fleet"
	"cranberryrail/fake/platf"
	"cranberryrail/fake/usage"
	"cranberryrail/io/opts"
)

// organisation is whose requests are measured.
const organisation = "acme"

// Bounds of the measurement.
const (
	// budget is large enough never to matter, in tokens.
	budget = 1 << 40
	// longestUS bounds the histograms, in microseconds.
	longestUS = 60_000_000
	// digits is the precision of the histograms.
	digits = 3
)

// Bench measures the overhead of an instance. Exported fields are set before Run.
type Bench struct {
	// Out takes the table.
	Out io.Writer
	// InFlight are the numbers of requests in flight that are measured.
	InFlight []int
	// Requests is the number of requests of each measurement.
	Requests int
	// Tokens is the length of each answer.
	Tokens int
	// Streams is the number of open streams for the measurement of memory.
	Streams int
	// FirstToken and TokenGap parameterise the engine.
	FirstToken, TokenGap time.Duration

	client *http.Client
	fleet  *fleet.Fleet
}

// String names the measurement.
func (b *Bench) String() string { return "overhead of an instance" }

// Default fills fields that were left empty.
func (b *Bench) Default() {
	if len(b.InFlight) == 0 {
		b.InFlight = []int{1, 64}
	}
	if b.Requests == 0 {
		b.Requests = 4000
	}
	if b.Tokens == 0 {
		b.Tokens = 16
	}
	if b.Streams == 0 {
		b.Streams = 1000
	}
	b.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2048, DisableCompression: true}}
}

// way is one way to ask for an answer.
type way struct {
	name string
	send func(ctx context.Context, prompt string) (*http.Response, error)
}

// figures are the outcome of one measurement.
type figures struct {
	way      string
	inFlight int
	first    *hdrhistogram.Histogram
	rate     float64
	cpu      float64
}

// Run measures and writes the table.
func (b *Bench) Run(ctx context.Context) error {
	b.fleet = &fleet.Fleet{
		Instances: 1, Engines: 1, Capacity: 2 * b.Streams, FirstToken: b.FirstToken, TokenGap: b.TokenGap, Log: zerolog.Nop(),
		Platform: &platf.Server{Seed: 1, AppendsPerSecond: platf.DefaultAppendsPerSecond},
	}
	b.fleet.Change = func(_ int, s *opts.Settings) {
		s.Target.FrameTimeoutMS = opts.MS(time.Minute.Milliseconds())
		s.Caller.MaxInFlight = 2 * b.Streams
	}
	b.fleet.Default()
	if err := b.fleet.Start(ctx); err != nil {
		return err
	}
	defer b.fleet.Close()
	if err := b.open(ctx); err != nil {
		return err
	}
	w := tabwriter.NewWriter(b.Out, 0, 0, 1, ' ', 0)
	_, _ = fmt.Fprintln(w, "| in flight\t| way\t| first token p50, ms\t| p99, ms\t| requests/s\t| processor time a request, ms\t|")
	_, _ = fmt.Fprintln(w, "| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t|")
	for _, n := range b.InFlight {
		if err := b.compare(ctx, w, n); err != nil {
			return err
		}
	}
	if err := w.Flush(); err != nil {
		return err
	}
	return b.memory(ctx)
}

func (b *Bench) open(ctx context.Context) error {
	m := b.fleet.Nodes[0]
	if err := b.fleet.Publish(ctx, m, "publish", "max_in_flight = 100000\n"+fleet.Template(organisation)); err != nil {
		return err
	}
	return b.fleet.TopUp(m, "top-up", organisation, budget)
}

// compare measures both ways with n requests in flight, each once to warm up.
func (b *Bench) compare(ctx context.Context, w io.Writer, n int) error {
	for _, way := range []way{{"engine asked directly", b.direct}, {"through an instance", b.routed}} {
		if _, err := b.measure(ctx, way, n, b.Requests/10); err != nil {
			return err
		}
		f, err := b.measure(ctx, way, n, b.Requests)
		if err != nil {
			return err
		}
		_, _ = fmt.Fprintf(w, "| %d\t| %s\t| %.2f\t| %.2f\t| %.0f\t| %.3f\t|\n", f.inFlight, f.way,
			float64(f.first.ValueAtQuantile(50))/1e3, float64(f.first.ValueAtQuantile(99))/1e3, f.rate, f.cpu)
	}
	return nil
}

// measure sends requests and reads their answers to the end.
func (b *Bench) measure(ctx context.Context, how way, inFlight, requests int) (figures, error) {
	f := figures{way: how.name, inFlight: inFlight, first: hdrhistogram.New(1, longestUS, digits)}
	times := make(chan int64, requests)
	started, cpu := time.Now(), usage.ProcessorTime()
	var g errgroup.Group
	g.SetLimit(inFlight)
	for i := range requests {
		g.Go(func() error {
			us, err := b.ask(ctx, how, fmt.Sprintf("measured question %d", i))
			times <- us
			return err
		})
	}
	err := g.Wait()
	elapsed := time.Since(started)
	close(times)
	for us := range times {
		_ = f.first.RecordValue(us)
	}
	f.rate = float64(requests) / elapsed.Seconds()
	f.cpu = float64((usage.ProcessorTime() - cpu).Microseconds()) / 1e3 / float64(requests)
	return f, err
}

// ask sends one request, reads the whole answer and returns the time to its first event.
func (b *Bench) ask(ctx context.Context, how way, prompt string) (int64, error) {
	started := time.Now()
	resp, err := how.send(ctx, prompt)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		data, _ := io.ReadAll(resp.Body)
		return 0, errors.New(resp.Status + ": " + string(data))
	}
	r := bufio.NewReader(resp.Body)
	if _, err := r.ReadString('\n'); err != nil {
		return 0, err
	}
	first := time.Since(started).Microseconds()
	_, err = io.Copy(io.Discard, r)
	return first, err
}

func (b *Bench) direct(ctx context.Context, prompt string) (*http.Response, error) {
	body := map[string]any{
		"request_id": prompt, "attempt": 1, "model": fleet.Model, "version": fleet.Version, "priority": 5, "prompt": prompt,
		"max_tokens": b.Tokens,
	}
	return b.post(ctx, "http://"+b.fleet.EngineServers[0].Addr()+"/v1/generate", body)
}

func (b *Bench) routed(ctx context.Context, prompt string) (*http.Response, error) {
	body := map[string]any{"model": fleet.Model, "prompt": prompt, "max_tokens": b.Tokens, "stream": true}
	return b.post(ctx, "http://"+b.fleet.Nodes[0].Front.Addr()+"/v1/completions", body)
}

func (b *Bench) post(ctx context.Context, url string, body any) (*http.Response, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+fleet.Key(organisation))
	return b.client.Do(req)
}

// memory measures what an open stream costs on both ways: this process holds the caller,
// the instance and the engine, so the difference is the instance's part.
func (b *Bench) memory(ctx context.Context) error {
	faults := engine.NoFaults()
	faults.StallAfter, faults.StallRatio = 1, 1
	b.fleet.EngineServers[0].SetFaults(faults)
	defer b.fleet.EngineServers[0].SetFaults(engine.NoFaults())
	direct, err := b.held(ctx, way{"direct", b.direct})
	if err != nil {
		return err
	}
	routed, err := b.held(ctx, way{"routed", b.routed})
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(b.Out, "\nmemory of an open stream: caller and engine %.1f KB, with an instance between them %.1f KB\n",
		direct/1e3, routed/1e3)
	return err
}

// held opens streams, reads the first line of each and returns the memory in use for
// each, in bytes.
func (b *Bench) held(ctx context.Context, how way) (float64, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	before := inUse()
	var g errgroup.Group
	bodies := make([]io.ReadCloser, b.Streams)
	for i := range b.Streams {
		g.Go(func() error {
			body, err := begin(ctx, how, fmt.Sprintf("%s held open %d", how.name, i))
			bodies[i] = body
			return err
		})
	}
	err := g.Wait()
	per := float64(inUse()-before) / float64(b.Streams)
	cancel()
	for _, body := range bodies {
		if body != nil {
			_ = body.Close()
		}
	}
	return per, err
}

// begin sends a request and returns its answer once the first byte has come.
func begin(ctx context.Context, how way, prompt string) (io.ReadCloser, error) {
	resp, err := how.send(ctx, prompt)
	if err != nil {
		return nil, err
	}
	if _, err := resp.Body.Read(make([]byte, 1)); err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	return resp.Body, nil
}

// inUse returns the heap and stacks in use after a collection, in bytes.
func inUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}
