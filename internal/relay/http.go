package relay

import (
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"geraniumstep.org/geraniumstep/internal/body"
	"geraniumstep.org/geraniumstep/internal/memory"
	"geraniumstep.org/geraniumstep/internal/proto"
)

const (
	// defaultBodyBytes limits a request's body while there is no configuration,
	// or if the configuration sets no limit.
	defaultBodyBytes = 256 << 10
	// minRetryAfter is the minimum Retry-After delay, so that no caller retries
	// at once. retrySpread is the upper bound of the fraction by which the delay
	// is extended, differently for successive callers, to avoid synchronized
	// retries.
	minRetryAfter = 50 * time.Millisecond
	retrySpread   = 0.3
)

// Handler serves HTTP requests of callers.
type Handler struct {
	engine   *Engine
	stopping atomic.Bool
	// rejections counts the Retry-After delays that were sent.
	rejections atomic.Uint64
}

// Handler returns the HTTP handler for callers.
func (e *Engine) Handler() *Handler { return &Handler{engine: e} }

// Stop makes callers close their connections after the next response, and answers all requests
// by the given time.
func (h *Handler) Stop(end time.Time) {
	h.stopping.Store(true)
	h.engine.StopBy(end)
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if h.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	account := h.engine.memory.Open()
	defer account.Close()
	req, rejection := h.read(w, r, account)
	if rejection != nil {
		h.write(w, rejection)
		return
	}
	h.write(w, h.engine.Do(r.Context(), req))
}

// read reads the complete request, so that it can be sent more than once. It returns the
// answer if the request is invalid or does not fit into memory.
func (h *Handler) read(w http.ResponseWriter, r *http.Request, account *memory.Account) (*proto.Request, proto.Answer) {
	limit := int64(defaultBodyBytes)
	if s := h.engine.Routes(); s != nil && s.Limits().MaxBodyBytes() > 0 {
		limit = s.Limits().MaxBodyBytes()
	}
	release := body.EndAtStop(h.engine.finish, w, r)
	data, err := account.ReadAll(http.MaxBytesReader(w, r.Body, limit), limit)
	release()
	if err != nil {
		return nil, h.bodyError(err)
	}
	id, remaining := h.engine.dialect.ReadCaller(r.Header)
	if id == "" {
		return nil, proto.Invalid{Status: http.StatusBadRequest, Reason: "request has no id; send one with each attempt"}
	}
	return &proto.Request{
		ID: id, Caller: callerOf(r), Remaining: remaining, Method: r.Method, Host: r.Host, Target: r.RequestURI, Path: r.URL.EscapedPath(),
		Header: r.Header, Body: data, Memory: account, Arrived: time.Now(),
	}, nil
}

// callerOf returns the caller's IP address. The port differs between its connections.
func callerOf(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

func (h *Handler) bodyError(err error) proto.Answer {
	if errors.Is(err, memory.ErrExhausted) {
		h.engine.metrics.exhausted.Inc()
		return proto.Refused{Reason: err.Error(), RetryAfter: defaultRetryAfter}
	}
	if body.IsEnded(err) {
		return proto.Refused{Reason: "node is shutting down, and the body is not complete; send the request to another one"}
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return proto.Invalid{Status: http.StatusRequestEntityTooLarge, Reason: "body is larger than " + strconv.FormatInt(tooLarge.Limit, 10) + " bytes"}
	}
	return proto.Invalid{Status: http.StatusBadRequest, Reason: "body ended early"}
}

func (h *Handler) write(w http.ResponseWriter, a proto.Answer) {
	switch a := a.(type) {
	case proto.Relayed:
		h.writeRelayed(w, a)
	case proto.Merged:
		h.engine.dialect.WriteMerged(w.Header(), a.Proofs, a.Missing)
		w.Header().Set("Content-Type", "application/octet-stream")
		h.writeBody(w, http.StatusOK, a.Body)
	case proto.Refused:
		w.Header().Set("Retry-After", h.retryAfter(a.RetryAfter))
		h.writeText(w, http.StatusServiceUnavailable, a.Reason)
	case proto.Limited:
		// The times of successive callers differ already, and are in order of priority.
		w.Header().Set("Retry-After", formatSeconds(max(a.RetryAfter, minRetryAfter)))
		h.writeText(w, http.StatusTooManyRequests, "the allotment of the workspace is used up; send the request again after the time in Retry-After")
	case proto.Unknown:
		status := http.StatusBadGateway
		if a.Expired {
			status = http.StatusGatewayTimeout
		}
		h.writeText(w, status, a.Reason)
	case proto.NoRoute:
		h.writeText(w, http.StatusNotFound, "no route matches")
	case proto.Invalid:
		h.writeText(w, a.Status, a.Reason)
	case proto.Abandoned:
		panic(http.ErrAbortHandler)
	}
}

func (h *Handler) writeRelayed(w http.ResponseWriter, a proto.Relayed) {
	header := w.Header()
	for name, values := range a.Header {
		header[name] = values
	}
	if _, ok := a.Header["Content-Type"]; !ok {
		header["Content-Type"] = nil // the upstream sent none; keeps net/http from guessing one
	}
	h.writeBody(w, a.Status, a.Body)
}

func (h *Handler) writeText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	h.writeBody(w, status, []byte(text+"\n"))
}

// writeBody sends the body with its length, so that the caller detects a truncated
// body.
func (h *Handler) writeBody(w http.ResponseWriter, status int, body []byte) {
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	if _, err := w.Write(body); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		h.engine.log.WithFields(logrus.Fields{"error": err.Error()}).Debug("relay: caller disconnected before the response was written.")
	}
}

// retryAfter formats a delay in seconds, extended differently for successive callers.
func (h *Handler) retryAfter(d time.Duration) string {
	const turns = 8
	turn := float64(h.rejections.Add(1) % turns)
	return formatSeconds(time.Duration(float64(max(d, minRetryAfter)) * (1 + retrySpread*turn/turns)))
}

func formatSeconds(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', 3, 64) }
