package conf

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"cranberryrail/core/codes"
	"cranberryrail/core/tail"
)

// Kinds of items in the configuration stream.
const (
	// KindPublish carries a PublishRequest with a template.
	KindPublish = "conf_publish"
	// KindRemove carries a PublishRequest without a body; it removes the organisation.
	KindRemove = "conf_remove"
)

// Format numbers. PublishFormat is incremented by every build that changes which templates are accepted, such as by a
// new key or another range, so that no two builds that fold the same record reach different decisions.
const (
	// PublishFormat is the format of items.
	PublishFormat = 1
	// SnapshotFormat is the format of snapshots.
	SnapshotFormat = 1
)

// OutcomeLimit is the number of recent changes whose outcomes are kept in order to answer retries.
const OutcomeLimit = 1024

// PublishRequest is a request to change the template of one organisation.
type PublishRequest struct {
	_ struct{} `cbor:",toarray"`
	// Format is set by Item and RemoveItem.
	Format int
	// ID identifies the change; retries of a change use the same id.
	ID           string
	Organisation string
	// BasedOn is the version that the change is based on: that of the template in force, 0 for an organisation that
	// never existed, or the version of the removal for a removed one.
	BasedOn int64
	// Body is the template in TOML.
	Body []byte
	// By is the name of the operator.
	By string
}

// Item returns the item that publishes the template.
func (p PublishRequest) Item() tail.Item {
	p.Format = PublishFormat
	return tail.NewItem(KindPublish, p)
}

// RemoveItem returns the item that removes the organisation.
func (p PublishRequest) RemoveItem() tail.Item {
	p.Format, p.Body = PublishFormat, nil
	return tail.NewItem(KindRemove, p)
}

// Outcome is the decision on one change.
type Outcome struct {
	_            struct{} `cbor:",toarray"`
	ID           string   `json:"id"`
	Organisation string   `json:"organisation"`
	// Code is the number of a result code, or 0 when the change was accepted.
	Code int `json:"code"`
	// Version is the version that the change was assigned, or the current version if it was refused.
	Version int64 `json:"version"`
	// Detail is the reason for a refusal and how to correct the change.
	Detail string `json:"detail,omitempty"`
	// Digest is the SHA-256 of the item; it distinguishes a retry from a different change with the same id.
	Digest []byte `cbor:"digest" json:"-"`
}

// Accepted reports whether the change was accepted.
func (o Outcome) Accepted() bool { return o.Code == 0 }

// Err returns a *codes.Error for a refused change and nil for an accepted one.
func (o Outcome) Err() error {
	for _, c := range codes.All() {
		if c.Number == o.Code {
			return codes.Refuse(c, 0, "organisation %s is at version %d: %s", o.Organisation, o.Version, o.Detail)
		}
	}
	return nil
}

// PublishedTemplate is a template that is in force.
type PublishedTemplate struct {
	Template Template `json:"template"`
	// Version is the version of the template.
	Version int64 `json:"version"`
	// PublishID is the id of the accepted change.
	PublishID string `json:"publish_id"`
}

// Fold is the state computed from the configuration stream. The zero value is the state before the first record. It is
// not safe for concurrent use.
type Fold struct {
	// Version is the version of the last accepted change, or 0.
	Version int64

	entries  map[string]entry
	outcomes []Outcome
	// templates (by organisation) and keys (organisation by key digest) are indexes derived from entries.
	templates map[string]Template
	keys      map[string]string
}

// entry is the stored state of one organisation. The entry of a removed organisation is kept without a body, so that
// its versions only increase and a delayed change can't restore it.
type entry struct {
	_         struct{} `cbor:",toarray"`
	Version   int64
	PublishID string
	Body      []byte
}

// foldSnapshot is the encoded form of a Fold.
type foldSnapshot struct {
	_        struct{} `cbor:",toarray"`
	Format   int
	Version  int64
	Entries  map[string]entry
	Outcomes []Outcome
}

// FormatError reports that an item or a snapshot has a format that this build does not support.
type FormatError struct {
	What   string
	Format int
}

// Error implements the error interface.
func (e *FormatError) Error() string {
	return fmt.Sprintf("%s has format %d, which this build does not support; upgrade the instance", e.What, e.Format)
}

// OlderStateError reports that a snapshot, or the state of another instance, is older than the current state.
type OlderStateError struct {
	Current  int64
	Snapshot int64
}

// Error implements the error interface.
func (e *OlderStateError) Error() string {
	return fmt.Sprintf("configuration state of version %d is older than version %d, which is in force; it was ignored", e.Snapshot, e.Current)
}

// change is a decoded item.
type change struct {
	PublishRequest
	remove bool
	digest []byte
}

// Default initialises the empty state.
func (f *Fold) Default() {
	if f.entries == nil {
		f.entries, f.templates, f.keys = map[string]entry{}, map[string]Template{}, map[string]string{}
	}
}

// Apply folds the items of the record at the offset and returns the outcome of each change. Items of an unknown kind
// are skipped. On error the state is unchanged.
func (f *Fold) Apply(offset int64, _ string, items []tail.Item) ([]Outcome, error) {
	f.Default()
	changes, err := decodeChanges(items)
	if err != nil {
		return nil, fmt.Errorf("fold configuration record at offset %d: %w", offset, err)
	}
	outcomes := make([]Outcome, 0, len(changes))
	for _, c := range changes {
		outcomes = append(outcomes, f.applyChange(offset+1, c))
	}
	return outcomes, nil
}

func decodeChanges(items []tail.Item) ([]change, error) {
	changes := make([]change, 0, len(items))
	for _, item := range items {
		if item.Kind != KindPublish && item.Kind != KindRemove {
			continue
		}
		c := change{remove: item.Kind == KindRemove, digest: digestOf(item)}
		if err := decodeVersioned(item.Kind, PublishFormat, item.Body, &c.PublishRequest); err != nil {
			return nil, err
		}
		changes = append(changes, c)
	}
	return changes, nil
}

// digestOf returns the SHA-256 of the kind and body of an item, which identifies a change.
func digestOf(item tail.Item) []byte {
	digest := sha256.Sum256(append([]byte(item.Kind), item.Body...))
	return digest[:]
}

// decodeVersioned decodes a CBOR array into v. The first element is the format number; it is checked before the others
// are decoded because their layout depends on it.
func decodeVersioned(what string, format int, data []byte, v any) error {
	var parts []cbor.RawMessage
	if err := tail.Decode(data, &parts); err != nil {
		return err
	}
	got := 0
	if len(parts) > 0 {
		if err := tail.Decode(parts[0], &got); err != nil {
			return err
		}
	}
	if got != format {
		return &FormatError{What: what, Format: got}
	}
	return tail.Decode(data, v)
}

// applyChange decides one change, or returns the recorded outcome if the change was decided before.
func (f *Fold) applyChange(version int64, c change) Outcome {
	i := slices.IndexFunc(f.outcomes, func(o Outcome) bool { return o.ID == c.ID })
	switch {
	case i < 0:
		o := f.decide(version, c)
		f.outcomes = append(f.outcomes, o)
		f.outcomes = f.outcomes[max(0, len(f.outcomes)-OutcomeLimit):]
		return o
	case bytes.Equal(f.outcomes[i].Digest, c.digest):
		return f.outcomes[i]
	default:
		return f.refuse(c, codes.VersionConflict, "the id was used before for another change; use a new one")
	}
}

// findOutcome returns the recorded outcome of a recent change.
func (f *Fold) findOutcome(digest []byte) (Outcome, bool) {
	i := slices.IndexFunc(f.outcomes, func(o Outcome) bool { return bytes.Equal(o.Digest, digest) })
	if i < 0 {
		return Outcome{}, false
	}
	return f.outcomes[i], true
}

// decide accepts or refuses a new change.
func (f *Fold) decide(version int64, c change) Outcome {
	old := f.entries[c.Organisation]
	// A version that an earlier change in this same record created can't have been known to the operator.
	if c.BasedOn != old.Version || old.Version >= version {
		return f.refuse(c, codes.VersionConflict, fmt.Sprintf("the change is based on version %d; read the current template and repeat it", c.BasedOn))
	}
	next := entry{Version: version, PublishID: c.ID}
	var t Template
	if c.remove {
		if old.Body == nil {
			return f.refuse(c, codes.BadTemplate, "there is no such organisation to remove")
		}
	} else {
		var problem string
		if t, problem = f.parseTemplate(c); problem != "" {
			return f.refuse(c, codes.BadTemplate, problem)
		}
		next.Body = c.Body
	}
	f.entries[c.Organisation] = next
	f.Version = version
	f.updateIndexes(c.Organisation, t, !c.remove)
	return Outcome{ID: c.ID, Organisation: c.Organisation, Version: version, Digest: c.digest}
}

func (f *Fold) refuse(c change, code codes.Code, detail string) Outcome {
	return Outcome{
		ID: c.ID, Organisation: c.Organisation, Code: code.Number,
		Version: f.CurrentVersion(c.Organisation), Detail: detail, Digest: c.digest,
	}
}

// parseTemplate returns the template of a change, or a description of why it is invalid.
func (f *Fold) parseTemplate(c change) (Template, string) {
	t, err := Parse(c.Body)
	if err != nil {
		return Template{}, err.Error()
	}
	if t.Organisation != c.Organisation {
		return Template{}, fmt.Sprintf("organisation: the template is that of %q", t.Organisation)
	}
	for i, key := range t.KeysSHA256 {
		if owner, taken := f.keys[key]; taken && owner != c.Organisation {
			return Template{}, fmt.Sprintf("keys_sha256[%d]: the key belongs to another organisation; use a new key", i)
		}
	}
	return t, ""
}

// updateIndexes updates templates and keys after the entry of an organisation changed.
func (f *Fold) updateIndexes(organisation string, t Template, present bool) {
	for _, key := range f.templates[organisation].KeysSHA256 {
		delete(f.keys, key)
	}
	delete(f.templates, organisation)
	if !present {
		return
	}
	f.templates[organisation] = t
	for _, key := range t.KeysSHA256 {
		f.keys[key] = organisation
	}
}

// CurrentVersion returns the version that the next change of an organisation must be based on. It is 0 for an
// organisation that never existed; a removed organisation keeps the version of its removal.
func (f *Fold) CurrentVersion(organisation string) int64 { return f.entries[organisation].Version }

// Organisation returns the template of an organisation.
func (f *Fold) Organisation(name string) (PublishedTemplate, bool) {
	t, ok := f.templates[name]
	e := f.entries[name]
	return PublishedTemplate{Template: t, Version: e.Version, PublishID: e.PublishID}, ok
}

// ByKey returns the template of the organisation that owns the key with this hex SHA-256.
func (f *Fold) ByKey(keySHA256 string) (Template, bool) {
	t, ok := f.templates[f.keys[keySHA256]]
	return t, ok
}

// All returns the templates in force, sorted by organisation.
func (f *Fold) All() []PublishedTemplate {
	all := make([]PublishedTemplate, 0, len(f.templates))
	for _, name := range slices.Sorted(maps.Keys(f.templates)) {
		p, _ := f.Organisation(name)
		all = append(all, p)
	}
	return all
}

// Save returns a snapshot of the state. The encoding is deterministic: equal states give equal bytes.
func (f *Fold) Save() ([]byte, error) {
	f.Default()
	return tail.Encode(foldSnapshot{Format: SnapshotFormat, Version: f.Version, Entries: f.entries, Outcomes: f.outcomes})
}

// Load replaces the state with a snapshot. It returns an *OlderStateError if the snapshot has a lower version. On error
// the state is unchanged.
func (f *Fold) Load(data []byte) error {
	var s foldSnapshot
	if err := decodeVersioned("configuration snapshot", SnapshotFormat, data, &s); err != nil {
		return fmt.Errorf("load configuration state: %w", err)
	}
	if s.Version < f.Version {
		return &OlderStateError{Current: f.Version, Snapshot: s.Version}
	}
	next := Fold{Version: s.Version, outcomes: s.Outcomes}
	next.Default()
	for name, e := range s.Entries {
		next.entries[name] = e
		if e.Body == nil {
			continue
		}
		t, err := Parse(e.Body)
		if err != nil {
			return fmt.Errorf("load template of %s from configuration snapshot: %w", name, err)
		}
		next.updateIndexes(name, t, true)
	}
	*f = next
	return nil
}
