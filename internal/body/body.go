// Package body bounds the reading of request bodies in a process that shuts down. A request
// whose body is not complete by then can be rejected before its connection ends.
//
//	release := body.EndAtStop(stop, w, r)
//	data, err := io.ReadAll(r.Body)
//	release()
//	if body.IsEnded(err) { ... } // reject the request
package body

import (
	"errors"
	"net/http"
	"os"
	"time"

	"geraniumstep.org/geraniumstep/pkg/finish"
)

// maxTime is longer than any shutdown lasts.
const maxTime = time.Hour

// EndAtStop ends the reading of the body of a request when all requests must be answered. The
// returned function must be called when the body has been read. The server must no longer keep
// connections alive by then, as in http.Server.Shutdown: it would await the rest of the body before
// it sends the response.
func EndAtStop(stop *finish.Stop, w http.ResponseWriter, r *http.Request) (release func()) {
	if r.ContentLength == 0 {
		return func() {}
	}
	read, done := make(chan struct{}), make(chan struct{})
	control := http.NewResponseController(w)
	go func() {
		defer close(done)
		select {
		case <-read:
			return
		case <-stop.Begun():
		}
		// An end that cannot be set leaves the request to the end of the process.
		_ = control.SetReadDeadline(stop.Clip(time.Now().Add(maxTime)))
		<-read
		// Otherwise the request would count as abandoned at the end.
		_ = control.SetReadDeadline(time.Time{})
	}()
	return func() {
		close(read)
		<-done
	}
}

// IsEnded reports whether an error of reading a body is due to EndAtStop.
func IsEnded(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
