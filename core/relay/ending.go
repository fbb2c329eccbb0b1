package relay

// Ender is who ended a request without a whole answer although its head was sent or a target may have run it.
type Ender string

// Enders.
const (
	// ByCaller means that the caller disconnected.
	ByCaller Ender = "caller"
	// ByDeadline means that the time limit of the caller or of the route was reached.
	ByDeadline Ender = "deadline"
	// ByTarget means that the last attempt failed and none followed it.
	ByTarget Ender = "target"
	// ByProcess means that this instance ended it: it stopped, a handler panicked, memory was short while the caller did not read, or the origin of a stream was
	// not recorded.
	ByProcess Ender = "process"
)

// endedBy records who ended the request before it had a whole answer.
func (r *relayedRequest) endedBy(e Ender) {
	if r.headSent || r.mayHaveRun {
		r.EndedBy = e
	}
}
