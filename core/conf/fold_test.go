package conf_test

import (
	"bytes"
	"errors"
	"fmt"
	"reflect"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"cranberryrail/core/codes"
	"cranberryrail/core/conf"
	"cranberryrail/core/tail"
)

func publish(id, organisation string, basedOn int64, body string) conf.PublishRequest {
	return conf.PublishRequest{
		ID: id, Organisation: organisation, BasedOn: basedOn, By: "op",
		Body: fmt.Appendf(nil, "organisation = %q\n%s", organisation, body),
	}
}

// apply folds one item and returns its outcome.
func apply(t testing.TB, f *conf.Fold, offset int64, item tail.Item) conf.Outcome {
	t.Helper()
	outcomes, err := f.Apply(offset, "inc", []tail.Item{item})
	assert.NilError(t, err)
	assert.Equal(t, len(outcomes), 1)
	return outcomes[0]
}

func assertRefused(t *testing.T, o conf.Outcome, code codes.Code, current int64) {
	t.Helper()
	var e *codes.Error
	assert.Assert(t, errors.As(o.Err(), &e), "accepted")
	assert.Equal(t, e.Code, code)
	assert.Equal(t, o.Version, current)
}

func save(t rapid.TB, f *conf.Fold) []byte {
	t.Helper()
	data, err := f.Save()
	assert.NilError(t, err)
	return data
}

// TestConcurrentChanges guards against a lost update: of changes based on the same version, only the first is accepted.
func TestConcurrentChanges(t *testing.T) {
	var f conf.Fold
	first := apply(t, &f, 0, publish("p1", "a", 0, "").Item())
	assert.NilError(t, first.Err())
	assert.Equal(t, first.Version, int64(1))
	outcomes, err := f.Apply(1, "inc", []tail.Item{
		publish("p2", "a", 1, "priority = 2").Item(), publish("p3", "a", 1, "priority = 3").Item(),
		publish("p4", "a", 2, "priority = 4").Item(),
	})
	assert.NilError(t, err)
	assert.NilError(t, outcomes[0].Err())
	assertRefused(t, outcomes[1], codes.VersionConflict, 2)
	assertRefused(t, outcomes[2], codes.VersionConflict, 2)
	got, _ := f.Organisation("a")
	assert.Equal(t, got.Template.Priority, 2)
	assert.Equal(t, got.PublishID, "p2")
}

// TestLostReplyRetried guards against a retry that reverts a later change. It receives the outcome of the first
// attempt.
func TestLostReplyRetried(t *testing.T) {
	var f conf.Fold
	item := publish("p1", "a", 0, "").Item()
	first := apply(t, &f, 0, item)
	apply(t, &f, 1, publish("p2", "a", 1, "priority = 9").Item())
	assert.DeepEqual(t, apply(t, &f, 2, item), first)
	got, _ := f.Organisation("a")
	assert.Equal(t, got.Template.Priority, 9)
	t.Run("a different change with the same id is refused", func(t *testing.T) {
		assertRefused(t, apply(t, &f, 3, publish("p1", "a", 2, "priority = 1").Item()), codes.VersionConflict, 2)
	})
}

// TestStaleSnapshotIgnored guards against reverting the state by a snapshot that is older than it.
func TestStaleSnapshotIgnored(t *testing.T) {
	var f conf.Fold
	apply(t, &f, 0, publish("p1", "a", 0, "").Item())
	old := save(t, &f)
	apply(t, &f, 1, publish("p2", "a", 1, "priority = 9").Item())
	before := save(t, &f)
	var stale *conf.OlderStateError
	assert.Assert(t, errors.As(f.Load(old), &stale))
	assert.Equal(t, *stale, conf.OlderStateError{Current: 2, Snapshot: 1})
	assert.DeepEqual(t, save(t, &f), before)
}

// TestKeyBelongsToOneOrganisation guards against a key that authenticates two organisations, or still authenticates
// one that removed it.
func TestKeyBelongsToOneOrganisation(t *testing.T) {
	var f conf.Fold
	key := fmt.Sprintf("%064d", 7)
	body := fmt.Sprintf("keys_sha256 = [%q]", key)
	apply(t, &f, 0, publish("p1", "a", 0, body).Item())
	assertRefused(t, apply(t, &f, 1, publish("p2", "b", 0, body).Item()), codes.BadTemplate, 0)
	owner, ok := f.ByKey(key)
	assert.Assert(t, ok && owner.Organisation == "a")
	assert.NilError(t, apply(t, &f, 2, publish("p3", "a", 1, "").Item()).Err())
	_, ok = f.ByKey(key)
	assert.Assert(t, !ok)
	assert.NilError(t, apply(t, &f, 3, publish("p4", "b", 0, body).Item()).Err())
	assert.Equal(t, len(f.All()), 2)
}

// TestVersionsContinueAfterRemoval guards against accepting a late change to a removed organisation: versions continue
// after a removal.
func TestVersionsContinueAfterRemoval(t *testing.T) {
	var f conf.Fold
	assertRefused(t, apply(t, &f, 0, publish("r0", "a", 0, "").RemoveItem()), codes.BadTemplate, 0)
	apply(t, &f, 1, publish("p1", "a", 0, "").Item())
	assert.NilError(t, apply(t, &f, 2, publish("r1", "a", 2, "").RemoveItem()).Err())
	_, ok := f.Organisation("a")
	assert.Assert(t, !ok)
	assertRefused(t, apply(t, &f, 3, publish("late", "a", 0, "").Item()), codes.VersionConflict, 3)
	assert.NilError(t, apply(t, &f, 4, publish("p2", "a", f.CurrentVersion("a"), "").Item()).Err())
}

func TestBadItems(t *testing.T) {
	good := publish("p1", "a", 0, "").Item()
	t.Run("an invalid template is refused", func(t *testing.T) {
		o := apply(t, &conf.Fold{}, 0, publish("p1", "a", 0, "priority = 12").Item())
		assertRefused(t, o, codes.BadTemplate, 0)
		assert.ErrorContains(t, o.Err(), "priority: 12")
	})
	t.Run("a template of another organisation is refused", func(t *testing.T) {
		p := publish("p1", "a", 0, "")
		p.Organisation = "b"
		assertRefused(t, apply(t, &conf.Fold{}, 0, p.Item()), codes.BadTemplate, 0)
	})
	t.Run("an unknown kind is skipped", func(t *testing.T) {
		outcomes, err := (&conf.Fold{}).Apply(0, "inc", []tail.Item{tail.NewItem("other", 1), good})
		assert.NilError(t, err)
		assert.Equal(t, len(outcomes), 1)
	})
	t.Run("an unknown format is an error and leaves the state unchanged", func(t *testing.T) {
		var f conf.Fold
		_, err := f.Apply(0, "inc", []tail.Item{good, tail.NewItem(conf.KindPublish, []any{9, "a field of a newer build"})})
		var format *conf.FormatError
		assert.Assert(t, errors.As(err, &format))
		assert.DeepEqual(t, save(t, &f), save(t, &conf.Fold{}))
	})
	t.Run("an undecodable body is an error", func(t *testing.T) {
		_, err := (&conf.Fold{}).Apply(4, "inc", []tail.Item{tail.NewItem(conf.KindRemove, "x")})
		assert.ErrorContains(t, err, "offset 4")
	})
}

// TestOutcomesAreBounded guards against state that grows with each change. An outcome is forgotten after OutcomeLimit
// later ones.
func TestOutcomesAreBounded(t *testing.T) {
	var f conf.Fold
	first := publish("first", "a", 0, "").Item()
	apply(t, &f, 0, first)
	for i := range int64(conf.OutcomeLimit) {
		apply(t, &f, i+1, publish(fmt.Sprint(i), "a", 0, "").Item())
	}
	size := len(save(t, &f))
	assertRefused(t, apply(t, &f, conf.OutcomeLimit+1, first), codes.VersionConflict, 1)
	apply(t, &f, conf.OutcomeLimit+2, publish("0123", "a", 0, "").Item())
	assert.Assert(t, len(save(t, &f)) < size+100)
}

// drawItem generates a random change that is often based on the current version.
func drawItem(t *rapid.T, f *conf.Fold) tail.Item {
	org := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "organisation")
	basedOn := f.CurrentVersion(org) - int64(rapid.IntRange(0, 1).Draw(t, "behind"))
	body := fmt.Sprintf("priority = %d\nkeys_sha256 = [\"%064d\"]", rapid.IntRange(0, 11).Draw(t, "priority"), rapid.IntRange(0, 3).Draw(t, "key"))
	p := publish(fmt.Sprint(rapid.IntRange(0, 60).Draw(t, "id")), org, basedOn, body)
	if rapid.IntRange(0, 5).Draw(t, "remove") == 0 {
		return p.RemoveItem()
	}
	return p.Item()
}

func TestReplayAndSnapshotGiveSameState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var replayed, restored conf.Fold
		snapshotAt := rapid.IntRange(0, 20).Draw(t, "cut")
		for offset := range 20 {
			if offset == snapshotAt {
				restored = conf.Fold{}
				assert.NilError(t, restored.Load(save(t, &replayed)))
			}
			before, version := replayed.All(), replayed.Version
			items := []tail.Item{drawItem(t, &replayed), drawItem(t, &replayed)}
			for _, f := range []*conf.Fold{&replayed, &restored} {
				_, err := f.Apply(int64(offset), "inc", items)
				assert.NilError(t, err)
			}
			assert.Assert(t, replayed.Version >= version)
			for _, p := range before {
				assert.Assert(t, replayed.CurrentVersion(p.Template.Organisation) >= p.Version)
			}
			assert.Assert(t, bytes.Equal(save(t, &replayed), save(t, &restored)))
			assert.Assert(t, reflect.DeepEqual(replayed.All(), restored.All()))
		}
	})
}

// TestRetryAfterLoad checks that an instance that was restored from a snapshot decides a retry in the same way as one
// that folded every record.
func TestRetryAfterLoad(t *testing.T) {
	var f, loaded conf.Fold
	p := publish("p", "a", 0, "")
	first := apply(t, &f, 0, p.Item())
	assert.NilError(t, loaded.Load(save(t, &f)))
	assert.DeepEqual(t, apply(t, &loaded, 1, p.Item()), first)
	assert.Assert(t, bytes.Equal(save(t, &loaded), save(t, &f)))
}
