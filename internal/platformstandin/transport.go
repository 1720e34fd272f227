package platformstandin

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
)

// errConnectionAborted means that the connection was closed before the response was
// complete.
var errConnectionAborted = errors.New("platformstandin: connection closed before the response")

// Transport returns a transport that serves requests to the stand-in without a
// network, so that it works in a testing/synctest bubble.
func (s *Server) Transport() http.RoundTripper {
	return transport{handler: s.Handler()}
}

type transport struct {
	handler http.Handler
}

// RoundTrip serves one request. It returns errConnectionAborted if the handler
// panics, as with http.ErrAbortHandler. If the request's context ends it returns
// at once, while the handler may still run.
func (t transport) RoundTrip(r *http.Request) (*http.Response, error) {
	// As on a network, the handler's context is cancelled together with the caller's
	// but does not carry the caller's values.
	ctx, cancel := context.WithCancel(context.Background())
	stop := context.AfterFunc(r.Context(), cancel)
	defer stop()
	responses := make(chan *http.Response, 1)
	go func() {
		defer cancel()
		defer close(responses)
		defer func() { _ = recover() }()
		recorder := httptest.NewRecorder()
		t.handler.ServeHTTP(recorder, r.Clone(ctx))
		responses <- recorder.Result()
	}()
	select {
	case response, ok := <-responses:
		if !ok {
			return nil, errConnectionAborted
		}
		return response, nil
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
}
