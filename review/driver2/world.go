//go:build review

// Command driver2 runs the scripts of the second independent review: stand-ins of the platform's store, of runners and of requesters, around instances that run as
// separate processes with the command of the deploy file.
package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"cranberryrail/fake/memlog"
	"cranberryrail/platform/stubs"
)

// Bounds and settings of the site ndukwe-claims.
const (
	memoryMB    = 134
	descriptors = 4100
	heartbeat   = 1200 * time.Millisecond
	partitions  = 12
	serverTopic = "keyed.servers"
	configTopic = "keyed.op"
)

// world is one run of a script.
type world struct {
	dir     string
	trouble bool
	began   time.Time

	recordMu sync.Mutex
	record   *bufio.Writer

	log   *memlog.Server
	store string

	mu        sync.Mutex
	processes []*process
	runners   []*runner
}

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.recordMu.Lock()
	defer w.recordMu.Unlock()
	fmt.Fprintf(w.record, "%8.3f ", time.Since(w.began).Seconds())
	fmt.Fprintf(w.record, format+"\n", args...)
}

// flush writes what was noted to the file.
func (w *world) flush() {
	w.recordMu.Lock()
	defer w.recordMu.Unlock()
	_ = w.record.Flush()
}

// say writes a line to the record and to standard output.
func (w *world) say(format string, args ...any) {
	w.note(format, args...)
	fmt.Printf(format+"\n", args...)
}

// cannotRun is the panic of a script that could not run.
type cannotRun struct{ error }

func must(err error) {
	if err != nil {
		panic(cannotRun{err})
	}
}

// startStore starts the stand-in of the platform's store.
func (w *world) startStore() {
	w.log = &memlog.Server{}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	w.store = l.Addr().String()
	s := &http.Server{Handler: &stubs.Store{Log: w.log}, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.Serve(l) }() // ends with the process
}

// putConfig is the operator's write of a config.
func (w *world) putConfig(text string) {
	w.log.Put(configTopic, 0, "config", []byte(text))
	w.note("operator: config %s", text)
}

// process is a process that the script has started.
type process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{}
}

// start starts a process whose output lines are passed on.
func (w *world) start(name string, line func(text string), args ...string) *process {
	p := &process{name: name, cmd: exec.Command(args[0], args[1:]...), done: make(chan struct{})}
	out, err := p.cmd.StdoutPipe()
	must(err)
	p.cmd.Stderr = p.cmd.Stdout
	must(p.cmd.Start())
	w.mu.Lock()
	w.processes = append(w.processes, p)
	w.mu.Unlock()
	go func() {
		r := bufio.NewReaderSize(out, 64<<10)
		for {
			text, err := r.ReadString('\n')
			if text != "" {
				line(strings.TrimSuffix(text, "\n"))
			}
			if err != nil {
				break
			}
		}
		_ = p.cmd.Wait() // killed by the script
		close(p.done)
	}()
	return p
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill ends the process with SIGKILL.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// running reports whether the process has not ended.
func (p *process) running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// memoryKB returns a line of the process's status in KB; 0 once it has ended.
func (p *process) memoryKB(field string) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	_, text, found := strings.Cut(string(data), field+":")
	if !found {
		return 0
	}
	n, _ := strconv.Atoi(strings.Fields(text)[0])
	return n
}

// cpu returns the processor time of the process.
func (p *process) cpu() time.Duration {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(data), ") ")
	f := strings.Fields(rest)
	user, _ := strconv.Atoi(f[11])
	system, _ := strconv.Atoi(f[12])
	return time.Duration(user+system) * 10 * time.Millisecond
}

// instance is an instance of the system on a machine of its own.
type instance struct {
	*process
	w                  *world
	id                 string
	front, ready, peer string
	metrics            string
	settings           string
	starts             int
	logFile            *os.File
}

// settingsText is deploy/router.toml as the platform fills it in, for loopback addresses.
const settingsText = `[instance]
id = %q
zone = "lagos-ikeja"

[caller]
listen = %q
ready = %q

[metrics]
listen = %q

[peer]
listen = %q

[store]
address = %q

[budget]
shards = %d
fleet = %q

[target]
leave_ms = 2000

[retry]
ratio = 0.2
window_s = 10

[memory]
limit_mb = %d

[link]
mbps = 1000

[stop]
grace_s = 8
`

// freeAddr returns a free address below the ports of outgoing channels.
func freeAddr() string {
	for range 1000 {
		if l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", 20000+rand.IntN(12000))); err == nil {
			defer l.Close()
			return l.Addr().String()
		}
	}
	panic(cannotRun{errors.New("no free port")})
}

// newInstance starts an instance.
func (w *world) newInstance(n int) *instance {
	i := &instance{w: w, id: fmt.Sprintf("front-lagos-ikeja-%d", n), front: freeAddr(), ready: freeAddr(), peer: freeAddr()}
	i.settings = filepath.Join(w.dir, i.id+".toml")
	f, err := os.Create(filepath.Join(w.dir, i.id+".log"))
	must(err)
	i.logFile = f
	i.metrics = freeAddr()
	i.run()
	return i
}

// run starts the instance's process.
func (i *instance) run() {
	i.starts++
	fleet := "new" // bootstrap is true when the whole system starts for the first time
	if i.starts > 1 {
		fleet = "running"
	}
	must(os.WriteFile(i.settings, fmt.Appendf(nil, settingsText, i.id, i.front, i.ready, i.metrics, i.peer, i.w.store, partitions, fleet, memoryMB), 0o600))
	i.process = i.w.start(i.id, func(text string) { fmt.Fprintln(i.logFile, text) },
		"bash", "-c", `ulimit -n "$1"; exec target/cranberryrail route --config "$0"`, i.settings, strconv.Itoa(descriptors))
	i.w.note("platform: started %s (start %d)", i.id, i.starts)
}

// isReady is one readiness check of the platform.
func (i *instance) isReady() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + i.ready + "/api/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until the instance says that it is ready.
func (i *instance) awaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if i.isReady() {
			return true
		}
	}
	return false
}

// runner is a runner process and its entry in the store.
type runner struct {
	*process
	w                 *world
	id, service, addr string
	born, sequence    int64
	onLine            func(r *runner, text string)
	mu                sync.Mutex
	cancel            context.CancelFunc
	slots             int
}

// newRunner starts a runner of a service, which writes its entry each heartbeat.
func (w *world) newRunner(service, id string, slots int, onLine func(r *runner, text string), args ...string) *runner {
	r := &runner{w: w, id: id, service: service, addr: freeAddr(), born: time.Now().UnixMilli(), onLine: onLine, slots: slots}
	self, err := os.Executable()
	must(err)
	all := append([]string{self, "runner", "--listen", r.addr, "--id", id, "--slots", strconv.Itoa(slots), "--born", strconv.FormatInt(r.born, 10)}, args...)
	r.process = w.start(id, func(text string) { r.onLine(r, text) }, all...)
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		c, err := net.Dial("tcp", r.addr)
		if err == nil {
			_ = c.Close()
			break
		}
		if time.Now().After(end) {
			must(err)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	r.beat()
	go func() {
		t := time.NewTicker(heartbeat)
		defer t.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-t.C:
			}
			if r.running() {
				r.beat()
			}
		}
	}()
	w.mu.Lock()
	w.runners = append(w.runners, r)
	w.mu.Unlock()
	return r
}

// beat writes the entry of the runner.
func (r *runner) beat() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sequence++
	models := "[]"
	if r.service == "engines" {
		models = `[{"name":"m","version":1,"adapters":[]}]`
	}
	r.w.log.Put(serverTopic, 0, r.id, fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":"lagos-ikeja","version":"v1","slots":%d,"state":"ready","cold_remaining_ms":0,"stage":"prefill_decode","models":%s,"sequence":%d,"born":%d}`,
		r.service, r.addr, r.slots, models, r.sequence, r.born))
}

// crash kills the runner; its entry goes after three heartbeats of silence.
func (r *runner) crash() {
	r.w.note("runner %s: SIGKILL", r.id)
	r.cancel()
	r.kill()
	go func() {
		time.Sleep(3 * heartbeat)
		r.w.log.Put(serverTopic, 0, r.id, nil)
	}()
}

// end ends all processes that the script has started.
func (w *world) end() {
	w.mu.Lock()
	all := w.processes
	w.mu.Unlock()
	for _, p := range all {
		if p.running() {
			p.signal(syscall.SIGCONT)
			p.kill()
		}
	}
}
