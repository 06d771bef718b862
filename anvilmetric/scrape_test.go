package anvilmetric_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"anvilbridge/anvilmetric"
)

func scrape(t *testing.T, metrics *anvilmetric.Metrics) string {
	t.Helper()
	recorder := httptest.NewRecorder()
	metrics.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", http.NoBody))
	return recorder.Body.String()
}
