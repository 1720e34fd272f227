package platformstandin

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
)

// errCut stands for a connection that was cut off before the answer.
var errCut = errors.New("platformstandin: connection cut off")

// Transport returns a transport that serves calls of the stand-in without a
// network, which runs inside a testing/synctest bubble.
func (s *Server) Transport() http.RoundTripper {
	return transport{handler: s.Handler()}
}

type transport struct {
	handler http.Handler
}

// RoundTrip serves one call. A handler that aborts cuts the connection off; a
// call whose context ends goes on at the stand-in.
func (t transport) RoundTrip(r *http.Request) (*http.Response, error) {
	// As on a network, the handler sees the end of the call but no values of
	// the caller's context.
	ctx, cancel := context.WithCancel(context.Background())
	stop := context.AfterFunc(r.Context(), cancel)
	defer stop()
	answers := make(chan *http.Response, 1)
	go func() {
		defer cancel()
		defer close(answers)
		defer func() { _ = recover() }()
		recorder := httptest.NewRecorder()
		t.handler.ServeHTTP(recorder, r.Clone(ctx))
		answers <- recorder.Result()
	}()
	select {
	case answer, ok := <-answers:
		if !ok {
			return nil, errCut
		}
		return answer, nil
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
}
