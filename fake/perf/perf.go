// Package perf measures the overhead of an instance. In the same run it sends requests to a fake engine directly and
// through an instance, and compares the time to the first token, the requests per second and the CPU time. It also
// measures the memory per open stream.
package perf

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

// organisation is the organisation that the measured requests belong to.
const organisation = "acme"

// Parameters of the measurement.
const (
	// budgetTokens is the top-up of the budget, large enough that no request exhausts it.
	budgetTokens = 1 << 40
	// histogramMaxUS is the highest value that the histograms can record, in microseconds.
	histogramMaxUS = 60_000_000
	// histogramDigits is the precision of the histograms, in significant digits.
	histogramDigits = 3
)

// Bench measures the overhead of an instance. The exported fields must be set before Run.
type Bench struct {
	// Out receives the table of results.
	Out io.Writer
	// InFlight lists the numbers of concurrent requests to measure with.
	InFlight []int
	// Requests is the number of requests per measurement.
	Requests int
	// Tokens is the length of each response, in tokens.
	Tokens int
	// Streams is the number of concurrent streams in the memory measurement.
	Streams int
	// FirstToken and TokenGap are the time to the first token and the time between tokens of the fake engine.
	FirstToken, TokenGap time.Duration

	client *http.Client
	fleet  *fleet.Fleet
}

// String identifies the measurement in error messages.
func (b *Bench) String() string { return "overhead of an instance" }

// Default sets the defaults of unset fields.
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

// path is a way to send a request to the engine: directly or through an instance.
type path struct {
	name string
	send func(ctx context.Context, prompt string) (*http.Response, error)
}

// result holds the results of one measurement.
type result struct {
	path              string
	inFlight          int
	firstToken        *hdrhistogram.Histogram
	requestsPerSecond float64
	cpu               float64 // CPU time per request, in milliseconds
}

// Run performs all measurements and writes the table of results to Out.
func (b *Bench) Run(ctx context.Context) error {
	b.fleet = &fleet.Fleet{
		Instances: 1, Engines: 1, Capacity: 2 * b.Streams, FirstToken: b.FirstToken, TokenGap: b.TokenGap, Log: zerolog.Nop(),
		Platform: &platf.Server{Seed: 1, AppendsPerSecond: platf.DefaultAppendsPerSecond},
	}
	b.fleet.ConfigureInstance = func(_ int, s *opts.Settings) {
		s.Target.FrameTimeoutMS = opts.Milliseconds(time.Minute.Milliseconds())
		s.Caller.MaxInFlight = 2 * b.Streams
	}
	b.fleet.Default()
	if err := b.fleet.Start(ctx); err != nil {
		return err
	}
	defer b.fleet.Close()
	if err := b.publishAndTopUp(ctx); err != nil {
		return err
	}
	w := tabwriter.NewWriter(b.Out, 0, 0, 1, ' ', 0)
	_, _ = fmt.Fprintln(w, "| in flight\t| path\t| first token p50, ms\t| p99, ms\t| requests/s\t| CPU time per request, ms\t|")
	_, _ = fmt.Fprintln(w, "| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t|")
	for _, n := range b.InFlight {
		if err := b.compare(ctx, w, n); err != nil {
			return err
		}
	}
	if err := w.Flush(); err != nil {
		return err
	}
	return b.measureMemory(ctx)
}

func (b *Bench) publishAndTopUp(ctx context.Context) error {
	node := b.fleet.Members[0]
	if err := b.fleet.Publish(ctx, node, "publish", "max_in_flight = 100000\n"+fleet.Template(organisation)); err != nil {
		return err
	}
	return b.fleet.TopUp(node, "top-up", organisation, budgetTokens)
}

// compare measures both paths with n concurrent requests, after a warm-up of a tenth of the requests on each path.
func (b *Bench) compare(ctx context.Context, w io.Writer, n int) error {
	for _, p := range []path{{"engine asked directly", b.sendDirect}, {"through an instance", b.sendRouted}} {
		if _, err := b.measure(ctx, p, n, b.Requests/10); err != nil {
			return err
		}
		result, err := b.measure(ctx, p, n, b.Requests)
		if err != nil {
			return err
		}
		_, _ = fmt.Fprintf(w, "| %d\t| %s\t| %.2f\t| %.2f\t| %.0f\t| %.3f\t|\n", result.inFlight, result.path,
			float64(result.firstToken.ValueAtQuantile(50))/1e3, float64(result.firstToken.ValueAtQuantile(99))/1e3,
			result.requestsPerSecond, result.cpu)
	}
	return nil
}

// measure sends requests with the given concurrency and reads their responses to the end.
func (b *Bench) measure(ctx context.Context, p path, inFlight, requests int) (result, error) {
	r := result{path: p.name, inFlight: inFlight, firstToken: hdrhistogram.New(1, histogramMaxUS, histogramDigits)}
	times := make(chan int64, requests)
	started, cpu := time.Now(), usage.CPUTime()
	var g errgroup.Group
	g.SetLimit(inFlight)
	for i := range requests {
		g.Go(func() error {
			us, err := b.timeRequest(ctx, p, fmt.Sprintf("measured question %d", i))
			times <- us
			return err
		})
	}
	err := g.Wait()
	elapsed := time.Since(started)
	close(times)
	for us := range times {
		_ = r.firstToken.RecordValue(us)
	}
	r.requestsPerSecond = float64(requests) / elapsed.Seconds()
	r.cpu = float64((usage.CPUTime() - cpu).Microseconds()) / 1e3 / float64(requests)
	return r, err
}

// timeRequest sends one request, reads the whole response and returns the time to its first event, in microseconds.
func (b *Bench) timeRequest(ctx context.Context, p path, prompt string) (int64, error) {
	started := time.Now()
	resp, err := p.send(ctx, prompt)
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
	firstToken := time.Since(started).Microseconds()
	_, err = io.Copy(io.Discard, r)
	return firstToken, err
}

func (b *Bench) sendDirect(ctx context.Context, prompt string) (*http.Response, error) {
	body := map[string]any{
		"request_id": prompt, "attempt": 1, "model": fleet.Model, "version": fleet.Version, "priority": 5, "prompt": prompt,
		"max_tokens": b.Tokens,
	}
	return b.post(ctx, "http://"+b.fleet.EngineServers[0].Addr()+"/v1/generate", body)
}

func (b *Bench) sendRouted(ctx context.Context, prompt string) (*http.Response, error) {
	body := map[string]any{"model": fleet.Model, "prompt": prompt, "max_tokens": b.Tokens, "stream": true}
	return b.post(ctx, "http://"+b.fleet.Members[0].Front.Addr()+"/v1/completions", body)
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

// measureMemory measures the memory per open stream on both paths. The caller, the instance and the engine run in this
// process, so the difference between the paths is the memory that the instance uses.
func (b *Bench) measureMemory(ctx context.Context) error {
	faults := engine.NoFaults()
	faults.StallAfter, faults.StallRatio = 1, 1
	b.fleet.EngineServers[0].SetFaults(faults)
	defer b.fleet.EngineServers[0].SetFaults(engine.NoFaults())
	direct, err := b.memoryPerStream(ctx, path{"direct", b.sendDirect})
	if err != nil {
		return err
	}
	routed, err := b.memoryPerStream(ctx, path{"routed", b.sendRouted})
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(b.Out, "\nmemory of an open stream: caller and engine %.1f KB, with an instance between them %.1f KB\n",
		direct/1e3, routed/1e3)
	return err
}

// memoryPerStream opens streams, reads the first byte of each and returns the memory in use per stream, in bytes.
func (b *Bench) memoryPerStream(ctx context.Context, p path) (float64, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	before := memoryInUse()
	var g errgroup.Group
	bodies := make([]io.ReadCloser, b.Streams)
	for i := range b.Streams {
		g.Go(func() error {
			body, err := openStream(ctx, p, fmt.Sprintf("%s held open %d", p.name, i))
			bodies[i] = body
			return err
		})
	}
	err := g.Wait()
	perStream := float64(memoryInUse()-before) / float64(b.Streams)
	cancel()
	for _, body := range bodies {
		if body != nil {
			_ = body.Close()
		}
	}
	return perStream, err
}

// openStream sends a request and returns the response body once its first byte has been received.
func openStream(ctx context.Context, p path, prompt string) (io.ReadCloser, error) {
	resp, err := p.send(ctx, prompt)
	if err != nil {
		return nil, err
	}
	if _, err := resp.Body.Read(make([]byte, 1)); err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	return resp.Body, nil
}

// memoryInUse returns the heap and stack memory in use after a garbage collection, in bytes.
func memoryInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}
