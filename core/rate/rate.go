// Package rate keeps the limits that targets name on the rate of requests from all instances together, and the share of
// this instance in them.
//
// A limit is divided among its holders. They are chosen by rendezvous hashing of the instances, so that all instances agree on
// them without exchanging messages. Each holder sends at an equal part of the rate; requests that it does not use accumulate up to a small
// burst. Other instances send no requests to the target. In any period, all holders together send at most as many requests as the limit
// allows, plus one burst of burstSeconds times the limit and burstRequests.
//
// Instances learn of a limit from the responses of the target, and from each other through a keyed topic of the log.
package rate

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"cranberryrail/core/logs"
	"cranberryrail/core/rendez"
)

// The burst of all holders of a limit together: the requests of burstSeconds, and burstRequests. The users' rule allows two
// seconds and five requests. The difference covers instances that do not agree on the holders yet.
const (
	burstSeconds  = 1.0
	burstRequests = 3.0
)

const (
	// minPerSecond is the lowest rate that is used, in requests a second. Only responses of the target show that its limit ended.
	minPerSecond = 0.1
	// maxPerSecond is the highest rate that is used: more than one target can run. The time between two requests stays above 0.
	maxPerSecond = 1e6
	// checkAfter is the time without an allowed request after which the target is preferred over others, so that a response shows
	// whether its limit still applies.
	checkAfter = 2 * time.Second
	// SettleTime is the time for which an instance that joined the fleet sends no requests to targets with a limit: until all
	// others know of it and have recomputed the holders.
	SettleTime = 30 * time.Second
	// retention is how long a limit is remembered after its target was last listed.
	retention = 10 * time.Minute
	// publishedChange is the smallest relative change of a limit that is published.
	publishedChange = 0.1
	// unpublished is the value of limit.publishedPerSecond before the first publication.
	unpublished = -1.0
	// maxLabelBytes limits the part of a target's id that is published.
	maxLabelBytes = 64
	// maxRead bounds the limits that are known from records: several times the targets of a large deployment.
	maxRead = 8192
)

// limit is the rate limit of one incarnation of a target.
type limit struct {
	perSecond, publishedPerSecond float64
	// target is the id of the target, for logs.
	target string
	// namedAt is when a response or a record last named the limit.
	namedAt time.Time
	// listedAt is when the target was last seen in the list.
	listedAt time.Time
	share    share
	// next is when the next request is due at the mean rate.
	next time.Time
}

// share is the share of an instance in a limit.
type share struct {
	// holder is set if the instance may send requests, and rank is its rank among the holders.
	holder bool
	rank   int
	// interval is the mean time between two requests of this instance, and holders the number of holders.
	interval time.Duration
	holders  int
	// slack is the maximum time by which a request may precede limit.next.
	slack time.Duration
}

// instance is an instance of the fleet.
type instance struct {
	id   string
	hash uint64
}

// newShare returns the share of instance own in a limit. The target is identified by the hash of its incarnation.
func newShare(perSecond float64, target uint64, own string, fleet []instance) share {
	perSecond = min(max(perSecond, minPerSecond), maxPerSecond)
	return shareOf(perSecond, burstSeconds*perSecond+burstRequests, target, own, fleet)
}

// shareOf returns the share of instance own in a rate with a burst, of a target that is identified by the hash of its incarnation.
func shareOf(perSecond, burst float64, target uint64, own string, fleet []instance) share {
	perSecond = min(max(perSecond, minPerSecond), maxPerSecond)
	ranked := slices.SortedFunc(slices.Values(fleet), func(a, b instance) int {
		return cmp.Or(cmp.Compare(rendez.Score(target, b.hash), rendez.Score(target, a.hash)), cmp.Compare(a.id, b.id))
	})
	s := share{holders: int(min(burst, float64(len(fleet))))}
	s.rank = slices.IndexFunc(ranked, func(i instance) bool { return i.id == own })
	s.holder = s.rank >= 0 && s.rank < s.holders
	s.interval = time.Duration(float64(max(s.holders, 1)) / perSecond * float64(time.Second))
	s.slack = time.Duration((burst/float64(max(s.holders, 1)) - 1) * float64(s.interval))
	return s
}

// start starts the share without accumulated requests. It staggers the first requests of the holders at the rate of the limit.
func (l *limit) start(now time.Time) {
	s := l.share
	l.next = now.Add(s.slack + s.interval*time.Duration(s.rank+1)/time.Duration(max(s.holders, 1)))
}

// due returns when the next request may be sent.
func (l *limit) due() time.Time { return l.next.Add(-l.share.slack) }

// take counts a request that is sent now.
func (l *limit) take(now time.Time) {
	if l.next.Before(now) {
		l.next = now
	}
	l.next = l.next.Add(l.share.interval)
}

// resize replaces the share. The time until the next request is scaled to the new interval.
func (l *limit) resize(s share, now time.Time) {
	if s == l.share {
		return
	}
	left := float64(l.due().Sub(now)) / float64(l.share.interval)
	held := l.share.holder
	l.share = s
	if !held {
		l.start(now)
		return
	}
	l.next = now.Add(max(0, s.slack+time.Duration(left*float64(s.interval))))
}

// hash returns the hash that identifies an incarnation of a target in the topic.
func hash(incarnation string) uint64 { return xxhash.Sum64String(incarnation) }

// hashBase is the base in which hashes are written.
const hashBase = 16

func key(target uint64) string { return strconv.FormatUint(target, hashBase) }

// record is the value of a record of the topic. Its key is the hash of the incarnation of the target. When a limit ends, its key is removed.
type record struct {
	PerSecond float64 `json:"per_second"`
	Target    string  `json:"target"`
}

// encode returns the record of a limit.
func encode(target uint64, l *limit) logs.Record {
	value, err := json.Marshal(record{l.perSecond, l.target[:min(len(l.target), maxLabelBytes)]})
	if err != nil {
		panic(fmt.Sprintf("encode rate limit: %v", err)) // limits are finite numbers
	}
	return logs.Record{Key: key(target), Value: value}
}

var (
	errKey      = errors.New("the key is not the hash of an incarnation as this program writes it")
	errNegative = errors.New("the limit is negative")
	errTooMany  = fmt.Errorf("more than %d targets have a limit", maxRead)
)

// decode parses a record.
func decode(r logs.Record) (target uint64, value record, err error) {
	target, err = strconv.ParseUint(r.Key, hashBase, 64)
	if err == nil && r.Key != key(target) {
		err = errKey
	}
	if err == nil && len(r.Value) > 0 {
		err = json.Unmarshal(r.Value, &value)
	}
	if err == nil && value.PerSecond < 0 {
		err = errNegative
	}
	value.Target = strings.Clone(value.Target[:min(len(value.Target), maxLabelBytes)]) // the whole may be long
	return target, value, err
}
