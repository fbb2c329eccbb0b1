// Package peer implements the communication between instances: the server and client of the protocol in peerpb, the
// relay that accesses the platform's log through other instances, and the gossip that keeps the view of the fleet up to
// date.
package peer

import (
	"fmt"
	"time"

	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcwire"

	"cranberryrail/core/roster"
	"cranberryrail/io/peer/peerpb"
)

// Limits of the protocol.
const (
	// MaxMessageBytes is the maximum size of a message; the largest messages carry folded states.
	MaxMessageBytes = 64 << 20
	// PageBytes is the total size of records at which a relayed page is complete.
	PageBytes = 1 << 20
	// MaxReadWait is the maximum time that a relayed read waits for a record.
	MaxReadWait = 5 * time.Second
	// MaxOtherViews is the maximum number of views of further instances in a reply to Hello.
	MaxOtherViews = 1
	// ServerIdleTimeout is how long the server keeps a connection open without a call.
	ServerIdleTimeout = time.Minute
	// ClientIdleTimeout is how long the client keeps an idle connection open.
	ClientIdleTimeout = 30 * time.Second
)

// Failure is the kind of failure of a call to another instance.
type Failure string

// Kinds of failures.
const (
	// NoReply means that the instance was unreachable or did not reply in time.
	NoReply Failure = "no_reply"
	// Refused means that the instance replied with an error.
	Refused Failure = "refused"
	// Abandoned means that the call ended at the caller: its context was done, or no slot of MaxCalls was free in time.
	Abandoned Failure = "abandoned"
)

// CallError is the error of a failed call to another instance.
type CallError struct {
	// Addr is the address of the called instance, and Method the RPC method.
	Addr, Method string
	Kind         Failure
	Err          error
}

// Error implements the error interface.
func (e *CallError) Error() string {
	hint := "check that the instance is running and that its peer address is reachable"
	switch e.Kind {
	case Refused:
		hint = "see the log of that instance"
	case Abandoned:
		hint = "the caller abandoned the call"
	}
	return fmt.Sprintf("call %s of instance %s: %s: %v; %s", e.Method, e.Addr, e.Kind, e.Err, hint)
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

func managerOptions(inactivity time.Duration) drpcmanager.Options {
	return drpcmanager.Options{
		Reader:            drpcwire.ReaderOptions{MaximumBufferSize: MaxMessageBytes},
		InactivityTimeout: inactivity,
	}
}

func encodeView(v roster.PeerView) *peerpb.View {
	marks := make([]*peerpb.Mark, 0, len(v.Marks))
	for _, m := range v.Marks {
		marks = append(marks, &peerpb.Mark{Stream: m.Stream, Run: m.Run, Chain: m.Chain})
	}
	return &peerpb.View{
		Marks:          marks,
		InstanceId:     v.InstanceID,
		Incarnation:    v.Incarnation,
		Zone:           v.Zone,
		PeerAddr:       v.PeerAddr,
		ConfigVersion:  v.ConfigVersion,
		Stopping:       v.Stopping,
		LogReached:     v.LogReached,
		LeavingTargets: v.LeavingTargets,
		ConfigAgeMs:    v.ConfigAgeMS,
	}
}

func decodeView(v *peerpb.View) roster.PeerView {
	marks := make([]roster.StreamMark, 0, len(v.GetMarks()))
	for _, m := range v.GetMarks() {
		marks = append(marks, roster.StreamMark{Stream: m.GetStream(), Run: m.GetRun(), Chain: m.GetChain()})
	}
	return roster.PeerView{
		Marks:          marks,
		InstanceID:     v.GetInstanceId(),
		Incarnation:    v.GetIncarnation(),
		Zone:           v.GetZone(),
		PeerAddr:       v.GetPeerAddr(),
		ConfigVersion:  v.GetConfigVersion(),
		Stopping:       v.GetStopping(),
		LogReached:     v.GetLogReached(),
		LeavingTargets: v.GetLeavingTargets(),
		ConfigAgeMS:    v.GetConfigAgeMs(),
	}
}
