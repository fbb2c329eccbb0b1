package plat

// AppendReply answers an append.
type AppendReply struct {
	Offset int64 `json:"offset"`
}

// Record is one record in a ReadReply.
type Record struct {
	Offset int64 `json:"offset"`
	// Data is the content of the record; it travels in base64.
	Data []byte `json:"data"`
}

// ReadReply answers a read.
type ReadReply struct {
	Records []Record `json:"records"`
	// Head is the offset that the next record gets.
	Head int64 `json:"head"`
}

// TrimmedReply answers a read of records that are no longer kept.
type TrimmedReply struct {
	Earliest int64 `json:"earliest"`
	Head     int64 `json:"head"`
}

// ErrorReply is the body of any other refusal.
type ErrorReply struct {
	Error string `json:"error"`
}
