package objectstore

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
)

// TestDeletionKeepsToItsRevision guards against a stand-in that carries out a deletion
// which the operators' store would refuse, so that tests with it pass.
func TestDeletionKeepsToItsRevision(t *testing.T) {
	for query, want := range map[string]int{"": http.StatusOK, "?revision=%d": http.StatusOK, "?revision=1": http.StatusConflict, "?revision=x": http.StatusConflict} {
		s := New()
		if err := s.Put("tillers", "h1", 1); err != nil {
			t.Fatal(err)
		}
		if query == "?revision=%d" {
			query = fmt.Sprintf(query, s.revision)
		}
		w := httptest.NewRecorder()
		s.ServeHTTP(w, httptest.NewRequest(http.MethodDelete, "/v1/objects/tillers/h1"+query, nil))
		if kept := len(s.Names("tillers")) == 1; w.Code != want || kept != (want == http.StatusConflict) {
			t.Errorf("%q: got status %d and object kept %t, want status %d", query, w.Code, kept, want)
		}
	}
}
