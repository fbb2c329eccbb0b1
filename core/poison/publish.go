package poison

import "cranberryrail/core/logs"

// publish queues a record for the other instances. Without others it applies the record at once.
func (t *Tracker) publish(r logs.Record) {
	if t.Outbox != nil {
		t.Outbox.Add(r)
		return
	}
	if err := t.fold(r); err != nil {
		t.OnInvalid(r.Key, err)
	}
}

// pending returns the records that are not known to be in the log.
func (t *Tracker) pending() []logs.Record {
	if t.Outbox == nil {
		return nil
	}
	return t.Outbox.Pending()
}
