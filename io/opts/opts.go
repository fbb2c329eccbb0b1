// Package opts loads the settings of a process from TOML. The struct tags hold the defaults and the allowed values;
// every value is validated before the process starts to work. A test keeps the tables in docs/SETTINGS.md in step with
// the tags.
package opts

import (
	"fmt"
	"net/netip"
	"os"
	"time"

	"cranberryrail/core/conf/field"
)

// Milliseconds is a duration in milliseconds.
type Milliseconds int64

// Duration converts the value to a time.Duration.
func (m Milliseconds) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Settings holds the settings of one process.
type Settings struct {
	Instance Instance `toml:"instance"`
	Caller   Caller   `toml:"caller"`
	Peer     Peer     `toml:"peer"`
	Operator Operator `toml:"operator"`
	Platform Platform `toml:"platform"`
	Ledger   Ledger   `toml:"ledger"`
	Once     Once     `toml:"once"`
	Target   Target   `toml:"target"`
	Memory   Memory   `toml:"memory"`
	Stop     Stop     `toml:"stop"`
	Log      Log      `toml:"log"`
}

// Instance identifies this instance.
type Instance struct {
	ID   string `toml:"id" allowed:"[a-z0-9-]{1,64}" doc:"Id of the instance as the platform lists it."`
	Zone string `toml:"zone" allowed:"[a-z0-9-]{1,64}" doc:"Availability zone of the instance."`
}

// Caller configures the listener for callers.
type Caller struct {
	Listen          string       `toml:"listen" default:"127.0.0.1:8080" allowed:"ip:port" doc:"Address that callers reach."`
	BodyBytes       int64        `toml:"body_bytes" unit:"bytes" default:"1048576" allowed:"1024..67108864" doc:"Largest body of a request."`
	HeaderTimeoutMS Milliseconds `toml:"header_timeout_ms" unit:"ms" default:"5000" allowed:"100..600000" doc:"Longest time for the headers of a request to arrive."`
	BodyTimeoutMS   Milliseconds `toml:"body_timeout_ms" unit:"ms" default:"10000" allowed:"100..600000" doc:"Longest time for the body of a request to arrive."`
	IdleTimeoutMS   Milliseconds `toml:"idle_timeout_ms" unit:"ms" default:"60000" allowed:"1000..3600000" doc:"Time after which a connection without a request is closed."`
	WriteTimeoutMS  Milliseconds `toml:"write_timeout_ms" unit:"ms" default:"10000" allowed:"100..600000" doc:"Longest time for a caller to take one write; a slower reader is cut off."`
	MaxInFlight     int          `toml:"max_in_flight" unit:"requests" default:"1024" allowed:"1..1000000" doc:"Most requests in flight at this instance."`
}

// Peer configures the listener for other instances and the calls to them.
type Peer struct {
	Listen        string       `toml:"listen" default:"127.0.0.1:7000" allowed:"ip:port" doc:"Address that other instances reach."`
	Advertise     string       `toml:"advertise" allowed:"ip:port or empty" doc:"Address that other instances are told; that of listen when empty."`
	Seeds         []string     `toml:"seeds" allowed:"ip:port" doc:"Address of an instance to ask while the platform's list can't be reached."`
	CallTimeoutMS Milliseconds `toml:"call_timeout_ms" unit:"ms" default:"300" allowed:"10..60000" doc:"Longest time for a call to another instance."`
}

// Operator configures the listener for operators.
type Operator struct {
	Listen    string `toml:"listen" default:"127.0.0.1:9000" allowed:"ip:port" doc:"Address that operators reach."`
	KeySHA256 string `toml:"key_sha256" allowed:"[0-9a-f]{64}" doc:"Hex SHA-256 of the operators' key."`
}

// Platform configures the access to the platform's services.
type Platform struct {
	LogURL    string       `toml:"log_url" allowed:"http url" doc:"Base URL of the platform's log."`
	ListURL   string       `toml:"list_url" allowed:"http url" doc:"Base URL of the platform's list of instances and targets."`
	TimeoutMS Milliseconds `toml:"timeout_ms" unit:"ms" default:"5000" allowed:"1500..60000" doc:"Longest time for a request to the platform; it covers the wait of a read for a record."`
}

// Ledger configures the streams of budgets.
type Ledger struct {
	Shards        int          `toml:"shards" unit:"streams" default:"1" allowed:"1..1024" doc:"Number of ledger streams; the same at every instance."`
	LingerMS      Milliseconds `toml:"linger_ms" unit:"ms" default:"5" allowed:"0..1000" doc:"How long a batch waits for further items."`
	ReserveWaitMS Milliseconds `toml:"reserve_wait_ms" unit:"ms" default:"400" allowed:"0..60000" doc:"Longest time that a request waits for allowance."`
	SnapshotEvery int64        `toml:"snapshot_every" unit:"records" default:"5000" allowed:"10..500000" doc:"Records of a stream between two snapshots."`
	SnapshotAgeMS Milliseconds `toml:"snapshot_age_ms" unit:"ms" default:"3600000" allowed:"1000..86400000" doc:"Time after which a snapshot of each stream is written anew; well below the time for which the platform keeps records."`
}

// Once configures the streams of non-idempotent calls.
type Once struct {
	Shards      int          `toml:"shards" unit:"streams" default:"1" allowed:"1..1024" doc:"Number of streams for claims; the same at every instance."`
	ClaimWaitMS Milliseconds `toml:"claim_wait_ms" unit:"ms" default:"2000" allowed:"10..60000" doc:"Longest time for a claim to be read back."`
	AnswerBytes int64        `toml:"answer_bytes" unit:"bytes" default:"65536" allowed:"0..262144" doc:"Largest answer that is kept in the log for retries."`
}

// Target configures the calls to targets.
type Target struct {
	FirstFrameTimeoutMS  Milliseconds `toml:"first_frame_timeout_ms" unit:"ms" default:"5000" allowed:"10..600000" doc:"Longest time to the first frame of a stream."`
	FrameTimeoutMS       Milliseconds `toml:"frame_timeout_ms" unit:"ms" default:"2000" allowed:"10..600000" doc:"Longest time between two frames of a stream."`
	DialTimeoutMS        Milliseconds `toml:"dial_timeout_ms" unit:"ms" default:"500" allowed:"10..60000" doc:"Longest time to open a connection."`
	CallTimeoutMS        Milliseconds `toml:"call_timeout_ms" unit:"ms" default:"30000" allowed:"10..600000" doc:"Longest time for a call to a plain service."`
	LoadEveryMS          Milliseconds `toml:"load_every_ms" unit:"ms" default:"500" allowed:"50..60000" doc:"Time between two reads of a target's load."`
	RetryRatio           float64      `toml:"retry_ratio" default:"0.2" allowed:"0..1" doc:"Retries in proportion to requests."`
	MaxInFlightPerTarget int          `toml:"max_in_flight_each" unit:"requests" default:"256" allowed:"1..100000" doc:"Most requests in flight from this instance to one target."`
}

// Memory limits the memory of the process.
type Memory struct {
	LimitMB float64 `toml:"limit_mb" unit:"MB" default:"1024" allowed:"32..1048576" doc:"Memory that the process may use. A quarter is for the bodies of requests in flight, and one for answers until they are complete."`
}

// Bytes returns a fraction of the memory limit in bytes.
func (m Memory) Bytes(fraction float64) int64 { return int64(m.LimitMB * fraction * megabyte) }

// Stop configures the graceful shutdown.
type Stop struct {
	TimeoutMS Milliseconds `toml:"timeout_ms" unit:"ms" default:"30000" allowed:"1..3600000" doc:"Longest time for a graceful shutdown."`
	NoticeMS  Milliseconds `toml:"notice_ms" unit:"ms" default:"500" allowed:"0..600000" doc:"Time between readiness going and the listener closing; less than timeout_ms."`
}

// Level is the minimum level of log messages.
type Level string

// Log levels.
const (
	Debug Level = "debug"
	Info  Level = "info"
	Warn  Level = "warn"
	Error Level = "error"
)

// Format is the output format of the log.
type Format string

// Log formats.
const (
	JSON    Format = "json"
	Console Format = "console"
)

// Log configures the log of the process.
type Log struct {
	Level  Level  `toml:"level" default:"info" allowed:"debug|info|warn|error" doc:"Least level that is logged."`
	Format Format `toml:"format" default:"json" allowed:"json|console" doc:"Form of the log on standard error."`
}

// Load reads and parses the settings file at path.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("read settings file; check its path and permissions: %w", err)
	}
	return parse("settings "+path, data)
}

// Parse decodes settings, applies the defaults and validates every value. The error is a *field.FaultError.
func Parse(data []byte) (Settings, error) { return parse("settings", data) }

func parse(what string, data []byte) (Settings, error) {
	var s Settings
	if err := field.Parse(what, data, &s, s.finish); err != nil {
		return Settings{}, err
	}
	return s, nil
}

// finish sets the defaults that depend on other keys and returns the faults that involve several keys.
func (s *Settings) finish() []field.Fault {
	var faults []field.Fault
	if s.Peer.Advertise == "" {
		s.Peer.Advertise = s.Peer.Listen
	}
	addr, err := netip.ParseAddrPort(s.Peer.Advertise)
	if err == nil && addr.Addr().IsUnspecified() {
		faults = append(faults, field.Fault{
			Path: "peer.advertise", Problem: fmt.Sprintf("%q is an unspecified address, which other instances can't connect to", s.Peer.Advertise),
			Allowed: "ip:port of one address of this instance",
		})
	}
	if s.Stop.NoticeMS >= s.Stop.TimeoutMS {
		faults = append(faults, field.Fault{
			Path: "stop.notice_ms", Problem: fmt.Sprintf("%d is not allowed", s.Stop.NoticeMS),
			Allowed: fmt.Sprintf("less than stop.timeout_ms, which is %d", s.Stop.TimeoutMS),
		})
	}
	return faults
}
