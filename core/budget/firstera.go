package budget

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"cranberryrail/core/logs"
	"cranberryrail/core/pause"
)

// firstEraKey is the key of the record of the era in which the fleet started for the first time.
const firstEraKey = "first"

// firstEraInterval is the time between two checks of whether the record must be written or read.
const firstEraInterval = 250 * time.Millisecond

// firstEraRecord is the value of the record.
type firstEraRecord struct {
	// By is the incarnation id of the writer.
	By string `json:"by"`
	// Era is an era of the log before which the fleet had drawn nothing.
	Era int64 `json:"era"`
}

// firstEra knows an era of the log before which the fleet had drawn nothing. Processes of a fleet that starts for the first
// time record it in the log, in each era anew, and those that start later read it. It stays true in all later eras.
type firstEra struct {
	syncer *Syncer
	outage outage

	// calls is held during calls to the log, and mu never, nor while another lock is taken.
	calls sync.Mutex
	mu    sync.Mutex
	// era is noEra while it is unknown. tried is set once the record was looked for, and read and readAt once that succeeded.
	era         int64
	tried, read bool
	readAt      time.Time
	// writtenIn is the era of the log in which this process has written the record.
	writtenIn int64
	// needed is set once a budget had no record, and what was drawn of it depended on the first era.
	needed bool
}

func newFirstEra(sy *Syncer) *firstEra {
	return &firstEra{syncer: sy, era: noEra, writtenIn: noEra}
}

// enabled reports whether the log may have been restored and the era is recorded in it.
func (f *firstEra) enabled() bool { return f.syncer.FirstEraTopic != "" && f.syncer.Log.HasEras() }

// run writes and reads the record until the context ends.
func (f *firstEra) run(ctx context.Context) error {
	for ctx.Err() == nil {
		err := f.sync(ctx)
		if ctx.Err() == nil {
			f.outage.record(err, f.syncer.OnFirstEraOutage, f.syncer.OnFirstEraRecovery)
		}
		pause.For(ctx, firstEraInterval)
	}
	return nil
}

// sync writes the record if this process knows the era and the log may lack it, and reads it if it is needed.
func (f *firstEra) sync(ctx context.Context) error {
	if !f.enabled() {
		return nil
	}
	f.calls.Lock()
	defer f.calls.Unlock()
	current := f.syncer.Log.CurrentEra()
	switch own := f.syncer.newFleetEra(); {
	case own != noEra:
		return f.write(ctx, own, current)
	case f.readDue():
		return f.load(ctx)
	default:
		return nil
	}
}

// readDue reports whether the record is needed and must be looked for now.
func (f *firstEra) readDue() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.needed && f.era == noEra && (!f.read || f.syncer.Book.Now().Sub(f.readAt) >= f.syncer.PollInterval)
}

// write records the era that this process knows, unless it has done so in the current era of the log. A reply of a later era
// is no outcome.
func (f *firstEra) write(ctx context.Context, own, current int64) error {
	sy := f.syncer
	f.mu.Lock()
	f.era = max(f.era, own)
	record, written := firstEraRecord{By: sy.Incarnation, Era: f.era}, f.writtenIn == current
	f.mu.Unlock()
	if written {
		return nil
	}
	value, err := json.Marshal(record)
	if err != nil {
		return fmt.Errorf("encode the first era: %w", err)
	}
	call, cancel := context.WithTimeout(ctx, sy.Timeout)
	defer cancel()
	if _, err := sy.Log.Append(call, sy.FirstEraTopic, 0, logs.AnyOffset, []logs.Record{{Key: firstEraKey, Value: value}}); err != nil {
		return err
	}
	if sy.Log.CurrentEra() == current {
		f.mu.Lock()
		f.writtenIn = current
		f.mu.Unlock()
	}
	return nil
}

// load reads the record.
func (f *firstEra) load(ctx context.Context) error {
	sy := f.syncer
	call, cancel := context.WithTimeout(ctx, sy.Timeout)
	defer cancel()
	s, err := sy.Log.NewestAll(call, sy.FirstEraTopic, 0)
	found := f.decode(s)
	f.mu.Lock()
	f.tried = true
	if err == nil {
		f.read, f.readAt, f.era = true, sy.Book.Now(), max(f.era, found)
	}
	f.mu.Unlock()
	sy.ScheduleAll()
	return err
}

// decode returns the era that is recorded in the log, noEra if there is no valid record.
func (f *firstEra) decode(s logs.Snapshot) int64 {
	for _, r := range s.Records {
		if r.Key != firstEraKey || len(r.Value) == 0 {
			continue
		}
		var e firstEraRecord
		err := json.Unmarshal(r.Value, &e)
		if err == nil && (e.Era < 0 || e.Era > s.Era) {
			err = errEra
		}
		if err == nil {
			return e.Era
		}
		f.syncer.OnInvalidRecord(r.Key, err)
	}
	return noEra
}

// loadOnce reads the record if the log was ever restored, before the first draw of a process that does not know the era. If
// that fails, sync repeats it.
func (f *firstEra) loadOnce(ctx context.Context) error {
	if !f.enabled() || f.syncer.Log.CurrentEra() == 0 || f.syncer.newFleetEra() != noEra {
		return nil
	}
	f.calls.Lock()
	defer f.calls.Unlock()
	f.mu.Lock()
	done := f.tried
	f.mu.Unlock()
	if done {
		return nil
	}
	return f.load(ctx)
}

// earliest returns the first era in which tokens may have been drawn: 0 if the log has no record, and earlier than any if it
// is not known whether it has one.
func (f *firstEra) earliest() int64 {
	if !f.enabled() {
		return 0
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.era == noEra && !f.read {
		return -maxLostEras
	}
	return max(f.era, 0)
}

// need makes the record be read until it is found.
func (f *firstEra) need() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.needed = true
}

// newFleetEra returns the era before which nothing was drawn of any budget, noEra if this process does not know one.
func (sy *Syncer) newFleetEra() int64 {
	if !sy.FirstStart {
		return noEra
	}
	first := sy.partitions[0].knownNewFleetEra()
	for _, p := range sy.partitions[1:] {
		first = min(first, p.knownNewFleetEra())
	}
	return first
}
