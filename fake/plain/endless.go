package plain

import (
	"net/http"
	"strings"
)

// blockBytes is about the size of one write of an endless response.
const blockBytes = 4 << 10

// Endless returns the handler of a faulty target that answers with a prefix and then a pattern without end, both as they are on the connection.
func Endless(prefix, pattern string) http.HandlerFunc {
	block := []byte(strings.Repeat(pattern, 1+blockBytes/len(pattern)))
	return func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		defer func() { _ = conn.Close() }()
		for _, err = conn.Write([]byte(prefix)); err == nil; _, err = conn.Write(block) {
		}
	}
}
