package memlog

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strconv"
	"time"

	"cranberryrail/core/logs"
)

// Copy is a copy of the log at one time.
type Copy struct {
	partitions map[string]*partition
}

// Copy returns a copy of the log.
func (s *Server) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{clonePartitions(s.partitions)}
}

// Restore replaces the log by a copy and begins a new era. Appends that Late has delayed are still performed.
func (s *Server) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.partitions = clonePartitions(c.partitions)
	s.Era++
}

func clonePartitions(partitions map[string]*partition) map[string]*partition {
	clones := map[string]*partition{}
	for name, p := range partitions {
		clones[name] = &partition{first: p.first, records: slices.Clone(p.records), newest: maps.Clone(p.newest)}
	}
	return clones
}

// CurrentEra returns the era of the log.
func (s *Server) CurrentEra() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Era
}

// client is a client of the log.
type client struct {
	server *Server
	eras   logs.EraTracker
}

// recordEra records the era of a reply. A call that fails without an answer of the log has no reply.
func (c *client) recordEra(err error) error {
	if errors.Is(err, errNoAnswer) || errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	era := c.server.CurrentEra()
	return errors.Join(err, c.eras.Record(era, era > 0, strconv.FormatInt(era, 10)))
}

func (c *client) append(ctx context.Context, topic string, part int, at int64, records []logs.Record) (int64, error) {
	end, err := c.server.append(ctx, topic, part, at, records)
	return end, c.recordEra(err)
}

func (c *client) read(ctx context.Context, topic string, part int, from int64, wait time.Duration) ([]logs.Record, int64, error) {
	records, end, err := c.server.read(ctx, topic, part, from, wait)
	return records, end, c.recordEra(err)
}

func (c *client) newest(ctx context.Context, topic string, part int, after string) (logs.Page, error) {
	page, err := c.server.readNewest(ctx, topic, part, after)
	return page, c.recordEra(err)
}
