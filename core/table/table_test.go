package table_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"cranberryrail/core/table"
)

func TestRouteLongestPrefix(t *testing.T) {
	table := table.New(table.Config{Routes: []table.Route{
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/x/"},
	}})
	for _, tc := range []struct{ host, path, want string }{
		{"a.example", "/x/1", "short"},
		{"a.example", "/x/y/1", "long"},
		{"a.example", "/x/y", "short"},
		{"A.example:8080", "/x/1", "short"},
		{"b.example", "/x/y/1", "other"},
		{"a.example", "/x", ""},
		{"c.example", "/x/1", ""},
	} {
		t.Run(tc.host+tc.path, func(t *testing.T) {
			r := table.Route(tc.host, tc.path)
			if tc.want == "" {
				assert.Assert(t, r == nil)
				return
			}
			assert.Equal(t, r.Name, tc.want)
		})
	}
}

func TestHolderIgnoresOlderVersions(t *testing.T) {
	var applied []int64
	h := table.Holder{OnApplied: func(t *table.Table) { applied = append(applied, t.Version) }}
	for _, version := range []int64{3, 2, 3, 7, 5} {
		h.Apply(table.Config{Version: version})
	}
	assert.DeepEqual(t, applied, []int64{3, 7})
	assert.Equal(t, h.Current().Version, int64(7))
}

// The longest matching path prefix selects the route; each key belongs to one organisation.
func ExampleTable() {
	t := table.New(table.Config{
		Routes: []table.Route{
			{Host: "claims.example", Prefix: "/", Kind: table.Idempotent},
			{Host: "claims.example", Prefix: "/submit/", Kind: table.NonIdempotent},
		},
		Organisations: []table.Organisation{{Name: "travel", Keys: []string{"k1"}, Prepaid: 1000}},
	})
	fmt.Println(t.Route("claims.example", "/submit/1").Kind, t.Organisation("k1").Name)
	// Output: non_idempotent travel
}
