package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cranberryrail/core/roster"
)

// TestAnswerIsDeterministic checks that an answer is a function of the prompt, and a shorter one a prefix of a longer
// one. Tests rely on it to detect repeated and missing tokens.
func TestAnswerIsDeterministic(t *testing.T) {
	assert.Equal(t, Answer("a", 1000), Text("a", Length("a", 1000)))
	assert.Assert(t, strings.HasPrefix(Answer("a", 9), Answer("a", 5)))
	assert.Assert(t, Answer("a", 5) != Answer("b", 5))
	assert.Equal(t, promptTokens(""), 0)
	assert.Equal(t, promptTokens("a"), 1)
}

func TestBatchAdmitsByPriority(t *testing.T) {
	b := &batch{capacity: 1, maxWaiting: 3}
	assert.NilError(t, b.admit(context.Background(), 0))
	low, err := b.acquireOrQueue(1)
	assert.NilError(t, err)
	high, err := b.acquireOrQueue(9)
	assert.NilError(t, err)
	later, err := b.acquireOrQueue(9)
	assert.NilError(t, err)
	_, err = b.acquireOrQueue(9)
	assert.ErrorIs(t, err, errFull)
	for _, w := range []*waiter{high, later, low} {
		b.release()
		<-w.ready
	}
	b.release()
	running, waiting := b.size()
	assert.Equal(t, running, 0)
	assert.Equal(t, waiting, 0)
}

// TestControlAPI checks that faults are set by the control API, and that the load report is cached for LoadLag.
func TestControlAPI(t *testing.T) {
	s := &Server{LoadLag: time.Hour}
	s.Default()
	control := func(method, path, body string, answer any) {
		t.Helper()
		w := httptest.NewRecorder()
		s.Handler().ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
		assert.Equal(t, w.Code, http.StatusOK)
		assert.NilError(t, json.Unmarshal(w.Body.Bytes(), answer))
	}
	var load roster.Load
	control(http.MethodGet, "/v1/load", "", &load)
	assert.Equal(t, load.State, roster.Live)
	var faults Faults
	control(http.MethodPut, "/control/faults", `{"gap_ratio": 0.5}`, &faults)
	assert.Equal(t, faults, Faults{StallAfter: -1, StallRatio: 1, GapRatio: 0.5})
	s.Leave()
	control(http.MethodGet, "/v1/load", "", &load)
	assert.Equal(t, load.State, roster.Live, "report is cached for LoadLag")
	s.loadReports.MaxAge = 0
	control(http.MethodGet, "/v1/load", "", &load)
	assert.Equal(t, load.State, roster.Leaving)
	var counts Counts
	control(http.MethodGet, "/control/counts", "", &counts)
	assert.Equal(t, counts.Started, int64(0))
}
