package plat

// AppendReply is the reply to an append.
type AppendReply struct {
	Offset int64 `json:"offset"`
}

// Record is one record in a ReadReply.
type Record struct {
	Offset int64 `json:"offset"`
	// Data is the content of the record, base64-encoded in JSON.
	Data []byte `json:"data"`
}

// ReadReply is the reply to a read.
type ReadReply struct {
	Records []Record `json:"records"`
	// Head is the offset of the next record to be appended.
	Head int64 `json:"head"`
}

// TrimmedReply is the reply to a read of records that are no longer retained.
type TrimmedReply struct {
	Earliest int64 `json:"earliest"`
	Head     int64 `json:"head"`
}

// ErrorReply is the body of every other error reply.
type ErrorReply struct {
	Error string `json:"error"`
}
