// Package poison finds out which requests crash targets and keeps further ones like them away from targets, at all
// instances.
//
// Requests are alike if they share a Trait: a part of their prompts, all of their content, or all of their content and their caller. When a target crashes, each
// request that it had not answered yet is suspected, and with it its traits. A trait that crashes targets does so again with
// the next request that has it, while any other trait is soon seen in a request that is answered. The Tracker therefore counts
// the longest series of crashes in which each request was sent after the crash before it was known. That several targets
// end at the same moment is one crash in this count. An answer with the trait ends the series.
//
// A trait with a long enough series is quarantined: no request with it is sent to a target, except for a probe from time
// to time, which one instance of the fleet sends and whose answer ends the quarantine. For the traits of whole requests, which only repeats
// share, crashes outside a series count as well, and the number of probes is bounded. Instances exchange what they see in the log.
package poison

import (
	"fmt"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Trait is what requests have in common: the hash of a part of their prompts, of their whole content, or of their whole content and their caller.
type Trait string

// Kinds of traits, the first byte of each.
const (
	partKind    = 'p'
	requestKind = 'r'
	callerKind  = 'c'
)

// PartTrait returns the trait of requests for a model that have a part in their prompts.
func PartTrait(model, part string) Trait { return newTrait(partKind, model, part) }

// RequestTrait returns the trait of requests with the same body and the same other content.
func RequestTrait(body []byte, content ...string) Trait {
	return newTrait(requestKind, append(content, strconv.FormatUint(xxhash.Sum64(body), hashBase))...)
}

// CallerTrait returns the trait of requests of one caller with the given RequestTrait.
func CallerTrait(caller string, request Trait) Trait {
	return newTrait(callerKind, caller, string(request))
}

// isPart reports whether the trait is a part of prompts. Only repeats of one request share any other trait.
func (t Trait) isPart() bool { return t != "" && t[0] == partKind }

// hashBase is the base in which hashes are written.
const hashBase = 16

func newTrait(kind byte, fields ...string) Trait {
	h := xxhash.New()
	length := make([]byte, 0, 20)
	for _, field := range fields {
		// The length keeps fields apart. Writes to a hash don't fail.
		_, _ = h.Write(append(strconv.AppendInt(length, int64(len(field)), 10), ':'))
		_, _ = h.WriteString(field)
	}
	return Trait(kind) + Trait(strconv.FormatUint(h.Sum64(), hashBase))
}

// targetHash returns the hash of the incarnation of a target.
func targetHash(incarnation string) string {
	return strconv.FormatUint(xxhash.Sum64String(incarnation), hashBase)
}

// Traits are the traits of one request.
type Traits struct {
	// Parts are the traits of the parts of its prompt that other prompts may share, and Labels the ids of these parts.
	Parts  []Trait
	Labels []string
	// Request is the trait of its whole content, and Caller that of its content and caller; Caller is optional.
	Request, Caller Trait
}

// all returns all traits.
func (t Traits) all() []Trait { return append(t.whole(), t.Parts...) }

// whole returns the traits of the whole content.
func (t Traits) whole() []Trait {
	if t.Caller == "" {
		return []Trait{t.Request}
	}
	return []Trait{t.Request, t.Caller}
}

// maxLabelBytes limits the part of an id that is logged and published.
const maxLabelBytes = 64

// label returns the id of the part with a trait, shortened if it is long; empty for the trait of the whole content.
func (t Traits) label(trait Trait) string {
	for i, part := range t.Parts {
		if part == trait && i < len(t.Labels) {
			return t.Labels[i][:min(len(t.Labels[i]), maxLabelBytes)]
		}
	}
	return ""
}

// Defaults of Tracker.
const (
	// DefaultLimit is the series of crashes after which a trait is quarantined. A request that is not the cause is seldom
	// among the unanswered ones of three targets in a row.
	DefaultLimit = 3
	// DefaultProbePause is the time from the last crash to the first probe: about the time in which a target is replaced.
	DefaultProbePause = 2 * time.Second
	// DefaultMaxProbePause bounds the time to the next probe, which grows with each.
	DefaultMaxProbePause = 10 * time.Minute
	// DefaultRetention is how long crashes are remembered. It is longer than the time between two probes.
	DefaultRetention = 30 * time.Minute
	// DefaultClaimTimeout bounds the wait for the right to send a probe: several times the usual time of an append.
	DefaultClaimTimeout = 200 * time.Millisecond
)

const (
	// pendingProbe is the time from the claim of a probe to the next one if neither an answer nor a crash became known: no target ran it.
	pendingProbe = 5 * time.Second
	// claimPause is the time between two claims of an instance for the same probe, while the log does not confirm the first.
	claimPause = time.Second
	// maxRequestProbes is the number of probes of a trait of whole requests, after which its requests are refused until it expires. It is
	// one less than the late arrivals that the users allow, since the report of a crash is lost if its instance is killed.
	maxRequestProbes = 2
	// ambiguousFactor is the factor by which a request with several quarantined traits waits longer as a probe. Requests with
	// only one of them show first which one is the cause.
	ambiguousFactor = 4
	// maxTraits bounds the traits with crashes that are remembered.
	maxTraits = 8192
)

// QuarantineError reports that a request was not sent, because requests with one of its traits have crashed targets.
type QuarantineError struct {
	Trait Trait
	// Label is the id of the part with the trait; empty for the trait of the whole content.
	Label string
	// Crashes is the number of targets that have crashed, as far as it is known.
	Crashes int
	// RetryAfter is the time until a request with the trait may be sent again.
	RetryAfter time.Duration
}

// Error implements the error interface.
func (e *QuarantineError) Error() string {
	what := "requests like this one"
	if e.Label != "" {
		what = fmt.Sprintf("requests with part %q in their prompts", e.Label)
	}
	return fmt.Sprintf("%d targets have crashed under %s", e.Crashes, what)
}
