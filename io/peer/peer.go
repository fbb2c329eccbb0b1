// Package peer is how instances reach each other: the server and client of the
// protocol in peerpb, the relay by which an instance reaches the platform's log
// through another, and the gossip that keeps the view of the others.
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
	// MaxMessageBytes is the size of the largest message, which is a folded state.
	MaxMessageBytes = 64 << 20
	// PageBytes is the size of records from which on a relayed page takes no further one.
	PageBytes = 1 << 20
	// MaxReadWait is the longest wait for a record in a relayed read.
	MaxReadWait = 5 * time.Second
	// OthersMax is the most views of further instances in one answer to Hello.
	OthersMax = 1
	// ServerIdle is how long the server keeps a connection without a call.
	ServerIdle = time.Minute
	// ClientIdle is how long the client keeps an unused connection.
	ClientIdle = 30 * time.Second
)

// Failure tells why a call to another instance failed.
type Failure string

// Kinds of failures.
const (
	// NoReply means that the instance was not reached or did not answer in time.
	NoReply Failure = "no_reply"
	// Refused means that the instance answered with an error.
	Refused Failure = "refused"
	// Abandoned means that the caller ended the call.
	Abandoned Failure = "abandoned"
)

// CallError tells that a call to another instance failed.
type CallError struct {
	// Addr is the address that was called, and Method the call.
	Addr, Method string
	Kind         Failure
	Err          error
}

// Error implements the error interface.
func (e *CallError) Error() string {
	mend := "check that the instance runs and that its peer address can be reached"
	switch e.Kind {
	case Refused:
		mend = "see the log of that instance"
	case Abandoned:
		mend = "the caller gave up"
	}
	return fmt.Sprintf("call %s of instance %s: %s: %v; %s", e.Method, e.Addr, e.Kind, e.Err, mend)
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
