// Package readme runs the command blocks of the README as they stand, in a directory of their own and with free ports instead of those that the README states.
package readme

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Page is the README. Exported fields are set before Load.
type Page struct {
	// Root is the root of the repository, and Dir an empty directory, in which the commands run.
	Root, Dir string

	// Blocks are the command blocks as they stand, set by Load.
	Blocks []string

	// free holds a free port for each port that the README states as one that must be free.
	free map[string]string
}

var (
	blockPattern  = regexp.MustCompile("(?s)```sh\n(.*?)```")
	portsPattern  = regexp.MustCompile(`The ports ([\d, and]+) of 127`)
	numberPattern = regexp.MustCompile(`\d+`)
	addrPattern   = regexp.MustCompile(`127\.0\.0\.1:(\d+)`)
)

// String returns the name of the page.
func (p *Page) String() string { return "README of " + p.Root }

// Load reads the README and copies the examples.
func (p *Page) Load(ctx context.Context) error {
	data, err := os.ReadFile(filepath.Join(p.Root, "README.md"))
	if err != nil {
		return err
	}
	for _, m := range blockPattern.FindAllStringSubmatch(string(data), -1) {
		p.Blocks = append(p.Blocks, m[1])
	}
	stated := portsPattern.FindString(string(data))
	if err := p.findPorts(ctx, numberPattern.FindAllString(strings.TrimSuffix(stated, "127"), -1)); err != nil {
		return err
	}
	return p.copyExamples()
}

// Ports below those that systems usually pick for connections, so that none is taken between the search and its use.
const (
	firstPort = 20_000
	portSpan  = 12_000
)

// findPorts finds a free port for each of the stated ones. They are all in use while it searches, so that they differ.
func (p *Page) findPorts(ctx context.Context, stated []string) error {
	p.free = map[string]string{}
	for len(p.free) < len(stated) && ctx.Err() == nil {
		port := strconv.Itoa(firstPort + rand.IntN(portSpan))
		l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", net.JoinHostPort("127.0.0.1", port))
		if err != nil {
			continue // in use
		}
		defer func() { _ = l.Close() }()
		p.free[stated[len(p.free)]] = port
	}
	return ctx.Err()
}

func (p *Page) copyExamples() error {
	examples, err := filepath.Glob(filepath.Join(p.Root, "examples", "*"))
	if err != nil {
		return err
	}
	if err := os.Mkdir(filepath.Join(p.Dir, "examples"), 0o700); err != nil {
		return err
	}
	for _, path := range examples {
		data, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		text, err := p.replacePorts(string(data))
		if err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
		if err := os.WriteFile(filepath.Join(p.Dir, "examples", filepath.Base(path)), []byte(text), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// replacePorts replaces the ports in a text. The error means that the README does not state one of them.
func (p *Page) replacePorts(text string) (string, error) {
	for _, m := range addrPattern.FindAllStringSubmatch(text, -1) {
		if p.free[m[1]] == "" {
			return "", fmt.Errorf("port %s is not stated in the README", m[1])
		}
	}
	return addrPattern.ReplaceAllStringFunc(text, func(addr string) string {
		host, port, _ := strings.Cut(addr, ":")
		return host + ":" + p.free[port]
	}), nil
}

// waitDelay is how long the output of a shell that was ended is read.
const waitDelay = 5 * time.Second

// goInRoot makes go build the repository, but write the program to the directory of the commands.
const goInRoot = `go() { (cd "$ROOT" && command go "${@/#cranberryrail/$DIR/cranberryrail}"); }
`

// mark separates the outputs of two blocks.
const mark = "== end of a block =="

// Run runs blocks in one shell, which ends at the first command that fails, and returns the standard output of each of them. No process that they start
// outlives it.
func (p *Page) Run(ctx context.Context, blocks ...string) ([]string, error) {
	text, err := p.replacePorts(strings.Join(blocks, "\necho '"+mark+"'\n") + "\nwait")
	if err != nil {
		return nil, err
	}
	var out, errs bytes.Buffer
	c := exec.CommandContext(ctx, "bash", "-e", "-c", goInRoot+text)
	c.Dir, c.Stdout, c.Stderr = p.Dir, &out, &errs
	c.Env = append(os.Environ(), "ROOT="+p.Root, "DIR="+p.Dir)
	c.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	c.Cancel = func() error { return syscall.Kill(-c.Process.Pid, syscall.SIGKILL) }
	c.WaitDelay = waitDelay
	err = c.Run()
	if c.Process != nil {
		_ = c.Cancel() // those that are left when a command has failed
	}
	if err != nil {
		return nil, fmt.Errorf("run the blocks: %w\n%s\n%s", err, &out, &errs)
	}
	return strings.Split(out.String(), mark), nil
}
