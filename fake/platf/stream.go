package platf

import (
	"cranberryrail/io/plat"
)

// MaxPageBytes is the total size of records at which a page is full. The last record may exceed it.
const MaxPageBytes = 4 << 20

// StreamCounts holds the call counters of one stream.
type StreamCounts struct {
	// Appends counts the appended records.
	Appends int64 `json:"appends"`
	// Reads counts the reads that returned a page, including empty pages.
	Reads int64 `json:"reads"`
	// BytesIn and BytesOut count the bytes of record data appended and read.
	BytesIn  int64 `json:"bytes_in"`
	BytesOut int64 `json:"bytes_out"`
	// Limited counts the appends rejected by the rate limit.
	Limited int64 `json:"limited"`
	// Refused counts the appends and reads rejected during an outage.
	Refused int64 `json:"refused"`
	// RepliesDropped counts the appends that took effect but received no reply.
	RepliesDropped int64 `json:"replies_dropped"`
	// LateAppends counts the appends that received no reply and were scheduled to take effect later.
	LateAppends int64 `json:"late_appends"`
}

// stream is one stream of the log. The mutex of the server guards it.
type stream struct {
	earliest int64 // offset of records[0]
	records  [][]byte
	changed  chan struct{} // closed and replaced at every change
	counts   StreamCounts
}

func newStream() *stream { return &stream{changed: make(chan struct{})} }

// head returns the offset of the next record to be appended.
func (st *stream) head() int64 { return st.earliest + int64(len(st.records)) }

// add appends a record and returns its offset.
func (st *stream) add(data []byte) int64 {
	offset := st.head()
	st.records = append(st.records, data)
	st.counts.Appends++
	st.counts.BytesIn += int64(len(data))
	st.notifyReaders()
	return offset
}

// trim drops the oldest records beyond the retention; 0 retains all.
func (st *stream) trim(retention int) {
	n := len(st.records) - retention
	if retention == 0 || n <= 0 {
		return
	}
	clear(st.records[:n])
	st.records = st.records[n:]
	st.earliest += int64(n)
}

// notifyReaders wakes up waiting reads so that they check the stream again.
func (st *stream) notifyReaders() {
	close(st.changed)
	st.changed = make(chan struct{})
}

// readPage returns up to limit records starting at offset from, which must not be below earliest.
func (st *stream) readPage(from int64, limit int) plat.ReadReply {
	reply := plat.ReadReply{Records: []plat.Record{}, Head: st.head()}
	size := 0
	for offset := from; offset < st.head() && len(reply.Records) < limit && size < MaxPageBytes; offset++ {
		data := st.records[offset-st.earliest]
		size += len(data)
		reply.Records = append(reply.Records, plat.Record{Offset: offset, Data: data})
	}
	return reply
}

// countRead counts a page that is returned to a reader.
func (st *stream) countRead(reply plat.ReadReply) {
	st.counts.Reads++
	for _, r := range reply.Records {
		st.counts.BytesOut += int64(len(r.Data))
	}
}
