package platf

import (
	"cranberryrail/io/plat"
)

// MaxPageBytes is the size of records from which on a page takes no further record.
const MaxPageBytes = 4 << 20

// StreamCounts counts the calls of one stream.
type StreamCounts struct {
	// Appends counts the records that were written.
	Appends int64 `json:"appends"`
	// Reads counts the reads that were answered with a page, also an empty one.
	Reads int64 `json:"reads"`
	// BytesIn and BytesOut count the content of records that were written and read.
	BytesIn  int64 `json:"bytes_in"`
	BytesOut int64 `json:"bytes_out"`
	// Limited counts appends over the rate limit.
	Limited int64 `json:"limited"`
	// Refused counts appends and reads during an outage.
	Refused int64 `json:"refused"`
	// RepliesDropped counts appends that took effect without a reply.
	RepliesDropped int64 `json:"replies_dropped"`
	// LateAppends counts appends that were put off without a reply.
	LateAppends int64 `json:"late_appends"`
}

// stream is one stream of the log. The server's mutex guards it.
type stream struct {
	first   int64 // offset of records[0]
	records [][]byte
	changed chan struct{} // closed at the next change
	counts  StreamCounts
}

func newStream() *stream { return &stream{changed: make(chan struct{})} }

// head returns the offset that the next record gets.
func (st *stream) head() int64 { return st.first + int64(len(st.records)) }

// add writes a record and returns its offset.
func (st *stream) add(data []byte) int64 {
	offset := st.head()
	st.records = append(st.records, data)
	st.counts.Appends++
	st.counts.BytesIn += int64(len(data))
	st.wake()
	return offset
}

// trim keeps the last records up to the retention; 0 keeps all.
func (st *stream) trim(retention int) {
	n := len(st.records) - retention
	if retention == 0 || n <= 0 {
		return
	}
	clear(st.records[:n])
	st.records = st.records[n:]
	st.first += int64(n)
}

// wake lets waiting reads look again.
func (st *stream) wake() {
	close(st.changed)
	st.changed = make(chan struct{})
}

// page returns up to limit records from an offset on, which is not before first.
func (st *stream) page(from int64, limit int) plat.ReadReply {
	reply := plat.ReadReply{Records: []plat.Record{}, Head: st.head()}
	size := 0
	for at := from; at < st.head() && len(reply.Records) < limit && size < MaxPageBytes; at++ {
		data := st.records[at-st.first]
		size += len(data)
		reply.Records = append(reply.Records, plat.Record{Offset: at, Data: data})
	}
	return reply
}

// countRead counts a page that is sent.
func (st *stream) countRead(reply plat.ReadReply) {
	st.counts.Reads++
	for _, r := range reply.Records {
		st.counts.BytesOut += int64(len(r.Data))
	}
}
