//go:build review

package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// zones are those of a small deployment.
var zones = []string{"zone-a", "zone-b", "zone-c"}

// instance is one process of the system, started as the deploy file states.
type instance struct {
	name, zone, settings         string
	front, ready, metrics, peers string

	mu      sync.Mutex
	cmd     *exec.Cmd
	ended   chan struct{}
	isReady bool
}

// fleet is the processes of the system.
type fleet struct {
	rec       *recorder
	program   string
	dir       string
	store     *store
	instances []*instance
}

// newFleet prepares instances. Each gets free ports.
func newFleet(rec *recorder, s *store, program, dir string, n int) (*fleet, error) {
	f := &fleet{rec: rec, program: program, dir: dir, store: s}
	for i := range n {
		in := &instance{name: fmt.Sprintf("front-%d", i+1), zone: zones[i%len(zones)]}
		in.settings = filepath.Join(dir, in.name+".yaml")
		for _, addr := range []*string{&in.front, &in.ready, &in.metrics, &in.peers} {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				return nil, err
			}
			defer func() { _ = l.Close() }() // All ports stay taken until the last one is chosen.
			*addr = l.Addr().String()
		}
		f.instances = append(f.instances, in)
	}
	return f, nil
}

// writeSettings writes the settings that deploy/router.toml gives for a machine of a small deployment.
func (f *fleet) writeSettings(in *instance, bootstrap bool) error {
	state := "running"
	if bootstrap {
		state = "new"
	}
	text := fmt.Sprintf(`[instance]
id = %q
zone = %q

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
shards = 12
fleet = %q

[target]
leave_ms = 2000

[retry]
ratio = 0.2
window_s = 10

[memory]
limit_mb = 284

[link]
mbps = 1000.0

[stop]
grace_s = 8
`, in.name, in.zone, in.front, in.ready, in.metrics, in.peers, f.store.addr, state)
	return os.WriteFile(in.settings, []byte(text), 0o600)
}

// start starts the process of an instance.
func (f *fleet) start(in *instance, bootstrap bool) error {
	if err := f.writeSettings(in, bootstrap); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(f.dir, in.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // the process has its own descriptor
	cmd := exec.Command(f.program, "route", "--config", in.settings)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	in.mu.Lock()
	in.cmd, in.ended = cmd, make(chan struct{})
	ended := in.ended
	in.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	f.rec.printf("start %s bootstrap=%v", in.name, bootstrap)
	return nil
}

func (f *fleet) startAll(bootstrap bool) error {
	for _, in := range f.instances {
		if err := f.start(in, bootstrap); err != nil {
			return err
		}
	}
	return nil
}

// kill sends SIGKILL to the process of an instance and waits for its end.
func (f *fleet) kill(in *instance) {
	in.mu.Lock()
	cmd, ended := in.cmd, in.ended
	in.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGKILL)
	<-ended
	f.rec.printf("killed %s", in.name)
}

func (f *fleet) killAll() {
	var wg sync.WaitGroup
	for _, in := range f.instances {
		wg.Go(func() { f.kill(in) })
	}
	wg.Wait()
}

// watchReadiness asks each instance once a second, as the platform does. Two misses take one out.
func (f *fleet) watchReadiness() {
	client := &http.Client{Timeout: 900 * time.Millisecond}
	for _, in := range f.instances {
		go func() {
			for misses := 0; ; time.Sleep(time.Second) {
				resp, err := client.Get("http://" + in.ready + "/api/ready")
				ok := err == nil && resp.StatusCode == http.StatusOK
				if err == nil {
					_ = resp.Body.Close()
				}
				if misses++; ok {
					misses = 0
				}
				in.mu.Lock()
				in.isReady = misses < 2 && (in.isReady || ok)
				in.mu.Unlock()
			}
		}()
	}
}

// inRotation returns the instances that get new connections: those that are ready, or all if fewer than half are.
func (f *fleet) inRotation() []*instance {
	var ready []*instance
	for _, in := range f.instances {
		in.mu.Lock()
		if in.isReady {
			ready = append(ready, in)
		}
		in.mu.Unlock()
	}
	if 2*len(ready) < len(f.instances) {
		return f.instances
	}
	return ready
}
