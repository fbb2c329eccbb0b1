package cmd_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"cranberryrail/cmd"
	"cranberryrail/fake/engine"
	"cranberryrail/fake/fleet"
)

// runAsProgramEnv is the environment variable that makes the test binary run as the program.
const runAsProgramEnv = "CRANBERRYRAIL_TEST_AS_PROGRAM"

// processTimeout bounds each wait for a process.
const processTimeout = time.Minute

func TestMain(m *testing.M) {
	if os.Getenv(runAsProgramEnv) != "" {
		os.Exit(cmd.Main(os.Args[1:]))
	}
	os.Exit(m.Run())
}

// process is a running process of the program.
type process struct {
	*exec.Cmd
	firstLine string
}

// startProcess starts the program and reads its first line of output.
func startProcess(t *testing.T, args ...string) *process {
	t.Helper()
	p := &process{Cmd: exec.Command(os.Args[0], args...)}
	p.Env = append(os.Environ(), runAsProgramEnv+"=1", "CRANBERRYRAIL_OPERATOR_KEY="+fleet.OperatorKey)
	out, err := p.StdoutPipe()
	assert.NilError(t, err)
	assert.NilError(t, p.Start())
	t.Cleanup(func() {
		_ = p.Process.Kill()
		_ = p.Wait()
	})
	lines := bufio.NewReader(out)
	p.firstLine, err = lines.ReadString('\n')
	assert.NilError(t, err, "%v printed no first line", args)
	return p
}

// addr returns the address that follows word in the first line.
func (p *process) addr(t *testing.T, word string) string {
	t.Helper()
	m := regexp.MustCompile(word + ` (127\.0\.0\.1:\d+)`).FindStringSubmatch(p.firstLine)
	assert.Assert(t, m != nil, p.firstLine)
	return m[1]
}

// runToCompletion runs the program until it exits and returns its output.
func runToCompletion(t *testing.T, args ...string) string {
	t.Helper()
	c := exec.Command(os.Args[0], args...)
	c.Env = append(os.Environ(), runAsProgramEnv+"=1", "CRANBERRYRAIL_OPERATOR_KEY="+fleet.OperatorKey)
	out, err := c.CombinedOutput()
	assert.NilError(t, err, "%v: %s", args, out)
	return string(out)
}

func settingsFile(t *testing.T, id, platform string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), id+".toml")
	text := fmt.Sprintf(`[instance]
id = %q
zone = "zone-a"
[caller]
listen = "127.0.0.1:0"
[peer]
listen = "127.0.0.1:0"
[operator]
listen = "127.0.0.1:0"
key_sha256 = %q
[platform]
log_url = "http://%s"
list_url = "http://%s"
[stop]
notice_ms = 0
`, id, fleet.OperatorKeySHA256(), platform, platform)
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// complete sends a streaming completion request and returns the text and the billed tokens.
func complete(t *testing.T, callers, prompt string) (string, int64) {
	t.Helper()
	body := fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":20,"stream":true}`, fleet.Model, prompt)
	req, err := http.NewRequest(http.MethodPost, "http://"+callers+"/v1/completions", strings.NewReader(body))
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer "+fleet.Key("acme"))
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK, string(data))
	var text strings.Builder
	var total int64
	for _, event := range strings.Split(strings.TrimSpace(string(data)), "\n\n") {
		var c struct {
			Choices []struct{ Text string }
			Usage   struct {
				TotalTokens int64 `json:"total_tokens"`
			}
		}
		if event == "data: [DONE]" {
			return text.String(), total
		}
		assert.NilError(t, json.Unmarshal([]byte(strings.TrimPrefix(event, "data: ")), &c), event)
		text.WriteString(c.Choices[0].Text)
		total = max(total, c.Usage.TotalTokens)
	}
	t.Fatal("stream ended without [DONE]")
	return "", 0
}

func spent(t *testing.T, operators string) int64 {
	t.Helper()
	var rows []struct{ Spent int64 }
	assert.NilError(t, json.Unmarshal([]byte(runToCompletion(t, "budgets", "acme", "--json", "--instance", "http://"+operators)), &rows))
	if len(rows) == 0 {
		return 0
	}
	return rows[0].Spent
}

func TestProcesses(t *testing.T) {
	platform := startProcess(t, "fake", "platform", "--listen", "127.0.0.1:0").addr(t, "on")
	startProcess(t, "fake", "engine", "--listen", "127.0.0.1:0", "--id", "engine-1", "--model", fleet.Model+":"+fleet.Version, "--register", "http://"+platform)
	one := startProcess(t, "serve", "--config", settingsFile(t, "instance-1", platform))
	two := startProcess(t, "serve", "--config", settingsFile(t, "instance-2", platform))
	operators := "http://" + one.addr(t, "operators")
	template := filepath.Join(t.TempDir(), "acme.toml")
	assert.NilError(t, os.WriteFile(template, []byte(fleet.Template("acme")), 0o600))
	runToCompletion(t, "publish", template, "--instance", operators)
	runToCompletion(t, "topup", "acme", "100000", "--instance", operators)
	for _, p := range []*process{one, two} {
		awaitReady(t, p.addr(t, "callers"))
	}
	text, used := complete(t, one.addr(t, "callers"), "draft a letter")
	assert.Equal(t, text, engine.Answer("draft a letter", 20))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if got := spent(t, two.addr(t, "operators")); got != used {
			return poll.Continue("other instance reports %d tokens spent, want %d", got, used)
		}
		return poll.Success()
	}, poll.WithTimeout(processTimeout))
	t.Run("graceful shutdown exits with status 0", func(t *testing.T) {
		assert.NilError(t, one.Process.Signal(syscall.SIGTERM))
		assert.NilError(t, one.Wait())
	})
	t.Run("the other instance keeps serving after a kill", func(t *testing.T) {
		killed := startProcess(t, "serve", "--config", settingsFile(t, "instance-3", platform))
		awaitReady(t, killed.addr(t, "callers"))
		assert.NilError(t, killed.Process.Kill())
		text, _ := complete(t, two.addr(t, "callers"), "another")
		assert.Equal(t, text, engine.Answer("another", 20))
	})
}

// awaitReady waits until an instance is ready and has the template in force.
func awaitReady(t *testing.T, callers string) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		resp, err := http.Get("http://" + callers + "/readyz")
		if err != nil {
			return poll.Continue("%v", err)
		}
		defer resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return poll.Continue("status %d", resp.StatusCode)
		}
		return poll.Success()
	}, poll.WithTimeout(processTimeout))
}
