package opts

import (
	"errors"
	"fmt"
	"os"
	"time"

	"cranberryrail/core/conf/field"
	"cranberryrail/core/zones"
)

// Seconds is a duration in seconds.
type Seconds float64

// Duration converts the value to a time.Duration.
func (s Seconds) Duration() time.Duration { return time.Duration(float64(s) * float64(time.Second)) }

// Router holds the settings of an instance that routes requests on the users' platform.
type Router struct {
	Instance RouterInstance `toml:"instance"`
	Caller   RouterCaller   `toml:"caller"`
	Metrics  RouterMetrics  `toml:"metrics"`
	Peer     RouterPeer     `toml:"peer"`
	Store    RouterStore    `toml:"store"`
	Budget   RouterBudget   `toml:"budget"`
	Target   RouterTarget   `toml:"target"`
	Retry    RouterRetry    `toml:"retry"`
	Stream   RouterStream   `toml:"stream"`
	Memory   RouterMemory   `toml:"memory"`
	Link     RouterLink     `toml:"link"`
	Stop     RouterStop     `toml:"stop"`
	Log      RouterLog      `toml:"log"`
}

// RouterInstance identifies the instance.
type RouterInstance struct {
	ID      string `toml:"id" allowed:"[a-z0-9-]{1,64}" doc:"Id of the instance as the platform lists it."`
	Zone    string `toml:"zone" allowed:"[a-z0-9-]{1,64}" doc:"Availability zone of the instance."`
	Regions string `toml:"regions" allowed:"([a-z0-9-]+=[a-z0-9-]+(,[a-z0-9-]+=[a-z0-9-]+)*)?" doc:"Region of each availability zone, for routes and organisations whose requests may be processed in some regions only."`
}

// RouterCaller configures the listeners for callers and for the platform's readiness checks.
type RouterCaller struct {
	Listen    string `toml:"listen" allowed:"ip:port" doc:"Address that callers reach."`
	Ready     string `toml:"ready" allowed:"ip:port" doc:"Address at which the platform asks whether the instance takes requests."`
	BodyBytes int64  `toml:"body_bytes" unit:"bytes" default:"8388608" allowed:"1024..67108864" doc:"Largest body of a request; the operators' configuration may allow less."`

	MaxConnections int     `toml:"max_connections" unit:"connections" default:"0" allowed:"0..1000000" doc:"Most connections of callers; beyond them, stalled or least recently used ones are closed. 0 derives it from the descriptors and the memory of the process."`
	HeaderFields   int     `toml:"header_fields" unit:"fields" default:"0" allowed:"0..10000000" doc:"Most header fields of all requests in flight together, by the memory that they use with their text; when there are more, requests are refused. 0 derives it from the memory of the process."`
	StallS         Seconds `toml:"stall_s" unit:"s" default:"2" allowed:"0.1..600" doc:"Time without progress after which a connection on which a request is sent, or a response is not read, is closed first when capacity is short."`
	ReadS          Seconds `toml:"read_s" unit:"s" default:"30" allowed:"1..3600" doc:"Time after which a connection is closed whose caller does not read its response."`
}

// RouterMetrics configures the listener for metrics.
type RouterMetrics struct {
	Listen string `toml:"listen" allowed:"ip:port or empty" doc:"Address that metrics are served at; none are served when empty."`
}

// RouterPeer configures the listener for other instances.
type RouterPeer struct {
	Listen string `toml:"listen" allowed:"ip:port or empty" doc:"Address at which other instances borrow tokens; when empty, the instance neither lends nor borrows."`
}

// RouterStore configures the access to the platform's store.
type RouterStore struct {
	Address      string       `toml:"address" allowed:"ip:port" doc:"Address of the platform's store."`
	ConfigWaitMS Milliseconds `toml:"config_wait_ms" unit:"ms" default:"1000" allowed:"100..30000" doc:"How long a read waits for a change of the configuration; a connection that went silent is noticed after it."`
	ListPauseMS  Milliseconds `toml:"list_pause_ms" unit:"ms" default:"100" allowed:"0..10000" doc:"Least time between two reads of the list of targets; well below the time in which a leaving target must get no more work."`
}

// RouterBudget configures prepaid budgets.
type RouterBudget struct {
	Shards  int          `toml:"shards" unit:"partitions" default:"6" allowed:"1..64" doc:"Number of partitions that budgets are spread over; the same at every instance."`
	CoverMS Milliseconds `toml:"cover_ms" unit:"ms" default:"12000" allowed:"0..600000" doc:"Time of usual use for which tokens are held ready."`
	Outages Switch       `toml:"cover_outages" default:"on" allowed:"off|on" doc:"Whether tokens are held ready for an outage of the platform's store as long as the longest one lately, up to cover_ms, also once little of a budget is left."`
	WaitMS  Milliseconds `toml:"wait_ms" unit:"ms" default:"200" allowed:"0..60000" doc:"Longest time that a request waits for tokens."`

	HeavyPerS float64 `toml:"heavy_per_s" unit:"requests/s" default:"4" allowed:"0..100000" doc:"Requests a second of an organisation from which on an instance holds tokens for itself although it is not one of the holders of the budget; 0 for none."`

	CopyAgeMS Milliseconds `toml:"copy_age_ms" unit:"ms" default:"10000" allowed:"100..3600000" doc:"Greatest age of a copy from which the platform's store may be restored; in a store that announces this, no more than half of a budget is drawn in this time."`
	Restored  RestoreMode  `toml:"restored" default:"settle" allowed:"write_off|settle" doc:"What becomes of the part of a budget that counts as granted because the store was restored from a copy: it stays written off, or comes back once all instances have stated their draws. No instance of build bcddc15 or an earlier one may join a fleet with settle."`
	Fleet     FleetState   `toml:"fleet" default:"running" allowed:"new|running" doc:"Whether the whole fleet starts for the first time, so that the store has no budgets yet."`
}

// Switch turns a part of the product on or off.
type Switch string

// States of a Switch.
const (
	Off Switch = "off"
	On  Switch = "on"
)

// RestoreMode is what becomes of tokens that were written off because the store was restored.
type RestoreMode string

// Modes of restored budgets.
const (
	WriteOff RestoreMode = "write_off"
	Settle   RestoreMode = "settle"
)

// FleetState is the state of the fleet when a process starts.
type FleetState string

// States of a fleet.
const (
	NewFleet     FleetState = "new"
	RunningFleet FleetState = "running"
)

// RouterTarget configures the selection of a target.
type RouterTarget struct {
	LeaveMS Milliseconds `toml:"leave_ms" unit:"ms" default:"2000" allowed:"100..600000" doc:"Time within which a target that is leaving must get no more work; the list of targets is read the less often the longer it is."`

	ResponseMB float64 `toml:"response_mb" unit:"MB" default:"64" allowed:"1..1048576" doc:"Largest body of a response, or largest stream; a target that sends more is taken to send without end, and its response is cut."`

	ColdOver  float64 `toml:"cold_over" default:"1" allowed:"0..100" doc:"Multiple of the requests a second that a cold target bears up to which all instances together send it requests in any second."`
	ColdSlack float64 `toml:"cold_slack" unit:"requests" default:"0" allowed:"0..1000" doc:"Requests in any second that all instances together may send a cold target beyond that."`

	Bound float64 `toml:"bound" default:"3" allowed:"1..100" doc:"Multiple of the mean load up to which a target gets the requests whose prompts share a part that it has read."`

	Choice TargetChoice `toml:"choice" default:"paced" allowed:"prefix|least_work|paced" doc:"How a target is chosen: by the shared parts of the prompt and the number of requests, by the expected time to the first event, which is learned from responses, or in the second way where targets state how long work takes at present and in the first elsewhere."`
}

// TargetChoice is how a target is chosen.
type TargetChoice string

// Ways to choose a target.
const (
	ChoosePrefix    TargetChoice = "prefix"
	ChooseLeastWork TargetChoice = "least_work"
	ChoosePaced     TargetChoice = "paced"
)

// MaxResponseBytes returns the size of the largest response in bytes.
func (t RouterTarget) MaxResponseBytes() int64 { return int64(t.ResponseMB * megabyte) }

// RouterRetry configures the retry budget that all instances share.
type RouterRetry struct {
	Ratio   float64 `toml:"ratio" default:"0.2" allowed:"0..1" doc:"Repeats in proportion to requests, for each service."`
	Slack   int     `toml:"slack" unit:"requests" default:"2" allowed:"0..1000" doc:"Repeats of this instance in a window besides those that requests earn."`
	WindowS Seconds `toml:"window_s" unit:"s" default:"10" allowed:"1..600" doc:"Time over which repeats are weighed against requests."`
}

// RouterStream configures how long it is known which software version of a service began a stream.
type RouterStream struct {
	LifeS   Seconds `toml:"life_s" unit:"s" default:"30" allowed:"1..3600" doc:"Longest time from the first event of a stream to the last try of its caller to resume it."`
	SettleS Seconds `toml:"settle_s" unit:"s" default:"120" allowed:"1..86400" doc:"Time for which a service has one software version before its streams are no longer recorded; longer than life_s and than an instance can't reach the platform's store."`
}

// RouterMemory limits the memory of the process.
type RouterMemory struct {
	LimitMB float64 `toml:"limit_mb" unit:"MB" default:"128" allowed:"32..1048576" doc:"Memory that the process may use."`
}

// Bytes returns a fraction of the memory limit in bytes.
func (m RouterMemory) Bytes(fraction float64) int64 { return int64(m.LimitMB * fraction * megabyte) }

// megabyte is the unit of LimitMB, in bytes.
const megabyte = 1 << 20

// RouterLink describes the network link of the machine.
type RouterLink struct {
	MBPS   float64 `toml:"mbps" unit:"Mbit/s" default:"0" allowed:"0..1000000" doc:"Rate of the link in each direction; requests that it can't carry are refused. 0 if it is unknown."`
	Ranked Switch  `toml:"ranked" default:"on" allowed:"off|on" doc:"Whether requests of less important routes are refused earlier than others when the link fills."`
}

// linkShare is the share of the link's rate that is left by the headers of its packets.
const linkShare = 0.9

// BytesPerSecond returns the rate at which the link carries data; 0 if it is unknown.
func (l RouterLink) BytesPerSecond() float64 { return l.MBPS * 1e6 / 8 * linkShare }

// RouterStop configures the graceful shutdown.
type RouterStop struct {
	GraceS  Seconds `toml:"grace_s" unit:"s" default:"8" allowed:"1..3600" doc:"Time after which a stopping process is ended from outside."`
	NoticeS Seconds `toml:"notice_s" unit:"s" default:"2.8" allowed:"0..600" doc:"Time for which a stopping instance still takes requests, until the platform sends it no more; less than grace_s."`
}

// RouterLog configures the log of the process.
type RouterLog struct {
	Level Level `toml:"level" default:"info" allowed:"debug|info|warn|error" doc:"Least level that is logged, on standard output."`
	Lines int   `toml:"lines" unit:"lines" default:"1000" allowed:"10..1000000" doc:"Lines of up to 1 KiB that wait to be written, or fewer long ones; the oldest are dropped for further ones and counted."`
}

// LoadRouter reads and parses the settings file of a router at path.
func LoadRouter(path string) (Router, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Router{}, fmt.Errorf("read settings file; check its path and permissions: %w", err)
	}
	return parseRouter("settings "+path, data)
}

// LoadRouterOfAnyBuild is LoadRouter but ignores the keys that this build does not know, and returns them: the platform may fill in the settings from the template
// of a newer build.
func LoadRouterOfAnyBuild(path string) (s Router, ignored []string, err error) {
	s, err = LoadRouter(path)
	var e *field.FaultError
	if !errors.As(err, &e) {
		return s, nil, err
	}
	for _, f := range e.Faults {
		if !f.UnknownKey {
			return s, nil, err
		}
		ignored = append(ignored, f.Path)
	}
	return s, ignored, nil
}

// ParseRouter decodes settings, applies the defaults and validates every value. The error is a *field.FaultError; the settings then have the values that could be
// decoded.
func ParseRouter(data []byte) (Router, error) { return parseRouter("settings", data) }

func parseRouter(what string, data []byte) (Router, error) {
	var s Router
	err := field.Parse(what, data, &s, s.faults)
	return s, err
}

// faults returns the faults that involve several keys, or parts of one.
func (s *Router) faults() []field.Fault {
	var faults []field.Fault
	if s.Stop.NoticeS >= s.Stop.GraceS {
		faults = append(faults, field.Fault{
			Path: "stop.notice_s", Problem: fmt.Sprintf("%v is not allowed", s.Stop.NoticeS),
			Allowed: fmt.Sprintf("less than stop.grace_s, which is %v", s.Stop.GraceS),
		})
	}
	if _, err := zones.ParseRegions(s.Instance.Regions); err != nil {
		faults = append(faults, field.Fault{Path: "instance.regions", Problem: err.Error(), Allowed: "zone=region, separated by commas"})
	}
	return faults
}
