package conns_test

import (
	"io"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"cranberryrail/fake/wire"
	"cranberryrail/io/conns"
)

// fetch sends a request and returns the body of the response.
func fetch(t *testing.T, c *conns.Client, r *conns.Request) (string, error) {
	resp, err := c.Do(t.Context(), r)
	if err != nil {
		return "", err
	}
	defer resp.Close()
	body, err := io.ReadAll(resp)
	return string(body), err
}

// FuzzCutResponse guards against a response that breaks off anywhere in its head or body and is taken for whole, and against a sound one that is not.
func FuzzCutResponse(f *testing.F) {
	const body = `{"whole": true}`
	for i, a := range wire.Answers("Id: 1\r\n", "{}{}"+body) {
		for _, cut := range a.Cuts() {
			for _, reset := range []bool{false, true} {
				f.Add(i, cut, reset, false, body)
				f.Add(i, cut, reset, true, body)
			}
		}
	}
	f.Fuzz(func(t *testing.T, i, cut int, reset, kept bool, body string) {
		body = "{}{}" + body // at least two chunks
		answers := wire.Answers("Id: 1\r\n", body)
		a := answers[uint(i)%uint(len(answers))]
		cut = int(uint(cut) % uint(a.Len()+1))
		end, left := wire.EndOf(reset), 0
		w := &wire.Network{Answer: func(*http.Request) (string, wire.End) {
			if left--; left >= 0 {
				return responseTo("1", "x"), wire.Kept
			}
			return a.Cut(cut), end
		}}
		c := &conns.Client{Dial: w.Dial}
		c.Default()
		r := (&target{}).request("1")
		if kept {
			left = 1
			_, err := fetch(t, c, r)
			assert.NilError(t, err)
		}
		got, err := fetch(t, c, r)
		want, whole := a.Whole(cut, end)
		assert.Equal(t, err == nil, whole, "%s, %d of %d bytes, %s: %q, %v", a.Name, cut, a.Len(), end, got, err)
		assert.Assert(t, !whole || got == want, "%s: %q", a.Name, got)
	})
}
