package plat

import (
	"encoding/json"
	"errors"
	"net"
	"strconv"

	"cranberryrail/core/roster"
)

// MembersReply is the list of instances and targets. Each describes itself, so that one may be odd.
type MembersReply struct {
	Instances []json.RawMessage `json:"instances"`
	Targets   []json.RawMessage `json:"targets"`
}

// Bounds of an entry of the list. maxSlots is far above the number of requests that one target can run.
const (
	maxEntryBytes = 64 << 10
	maxSlots      = 1 << 20
)

var (
	errEntry = errors.New("the entry is too long, has no id, or its number of slots is out of range")
	errPort  = errors.New("the port of the address is not a number from 1 to 65535")
)

// decodeMembers decodes the entries of the list one by one.
func (c *Client) decodeMembers(reply MembersReply) roster.Members {
	m := roster.Members{Instances: []roster.Instance{}, Targets: []roster.Target{}}
	for _, data := range reply.Instances {
		var i roster.Instance
		if c.decodeEntry(data, &i, func() error { return checkEntry(i.ID, "", 0) }) {
			m.Instances = append(m.Instances, i)
		}
	}
	for _, data := range reply.Targets {
		var t roster.Target
		if c.decodeEntry(data, &t, func() error { return checkEntry(t.ID, t.Addr, t.Slots) }) {
			m.Targets = append(m.Targets, t)
		}
	}
	return m
}

// decodeEntry decodes an entry into v and reports whether it is valid.
func (c *Client) decodeEntry(data []byte, v any, check func() error) bool {
	err := errEntry
	if len(data) <= maxEntryBytes {
		if err = json.Unmarshal(data, v); err == nil {
			err = check()
		}
	}
	if err != nil {
		c.OnInvalid(string(data[:min(len(data), maxErrorBytes)]), err)
	}
	return err == nil
}

// checkEntry returns an error if an entry can't be used. A target may be listed without an address before it listens.
func checkEntry(id, addr string, slots int) error {
	if id == "" || slots < 0 || slots > maxSlots {
		return errEntry
	}
	if addr == "" {
		return nil
	}
	_, port, err := net.SplitHostPort(addr)
	if err != nil {
		return err
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return errPort
	}
	return nil
}

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
