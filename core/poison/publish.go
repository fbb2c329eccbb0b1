package poison

import "cranberryrail/core/logs"

// publish queues a record for all instances. If there are no others, it applies the record at once.
func (t *Tracker) publish(r logs.Record) {
	if t.Publish != nil {
		t.Publish(r)
		return
	}
	if err := t.fold(r); err != nil {
		t.OnInvalid(r.Key, err)
	}
}

// Records returns the records that restore the present state with Reset.
func (t *Tracker) Records() []logs.Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.records()
}

func (t *Tracker) records() []logs.Record {
	var list []logs.Record
	for trait, s := range t.traits {
		if s.epoch > 0 || s.probes > 0 {
			list = append(list, encode(string(trait), stateRecord{Epoch: s.epoch, Probe: s.probes, Unsent: s.unsent}))
		}
		for target, series := range s.crashes {
			list = append(list, encode(crashKey(trait, target), crashRecord{Epoch: s.epoch, Series: series, Label: s.label}))
		}
	}
	return list
}

// Republish queues the records of the present state, after the log was restored from an older copy. It is called before Reset.
func (t *Tracker) Republish() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.records() {
		t.publish(r)
	}
}
