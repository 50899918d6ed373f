package standin

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"
)

// errOverloaded means that all slots and the queue are full.
const errOverloaded = errors.ConstError("slots and queue are full")

// serveRequest runs a request, or rejects it if the mode requires that.
func (u *Upstream) serveRequest(w http.ResponseWriter, r *http.Request, b *Behaviour) {
	bodyBytes, err := u.readRequest(r)
	if err != nil {
		u.recorder.updateTotals(func(t *Totals) { t.Cancelled++ })
		panic(http.ErrAbortHandler)
	}
	if status := failStatus(b.Mode); status != 0 {
		u.recorder.updateTotals(func(t *Totals) { t.Failed++ })
		writeJSON(w, status, map[string]string{"error": "failure mode enabled by PUT /standin"})
		return
	}
	ctx, cancel, err := withDeadline(r)
	if err != nil {
		writeError(w, err)
		return
	}
	defer cancel()
	size, err := requestedSize(r)
	if err != nil {
		writeError(w, err)
		return
	}
	key := requestKey(r)
	if err := u.run(ctx, key, b); err != nil {
		u.writeRunError(w, r, err)
		return
	}
	u.writeEcho(w, key, bodyBytes, size, b.Mode)
}

// readRequest reads the body to its end and searches the whole request for secrets.
func (u *Upstream) readRequest(r *http.Request) (int64, error) {
	u.recorder.recordHeaders(r.Header)
	u.scanner.scanHeader("header", r.Header)
	u.scanner.scanRequestLine(r)
	bodyBytes, err := u.scanner.scanBody(r.Body)
	u.recorder.recordHeaders(r.Trailer)
	u.scanner.scanHeader("trailer", r.Trailer)
	return bodyBytes, err
}

// run acquires a slot and waits for the service time.
func (u *Upstream) run(ctx context.Context, key RequestKey, b *Behaviour) error {
	if err := u.acquireSlot(ctx); err != nil {
		return err
	}
	defer func() { <-u.slots }()
	u.recorder.startRequest(key)
	err := u.config.Wait(ctx, u.serviceTime(b))
	u.recorder.endRequest(key, err == nil)
	return err
}

func (u *Upstream) acquireSlot(ctx context.Context) error {
	select {
	case u.slots <- struct{}{}:
		return nil
	default:
	}
	defer u.queued.Add(-1)
	if u.queued.Add(1) > int64(u.config.Queue) {
		return errOverloaded
	}
	select {
	case u.slots <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// writeRunError responds to a request that did not run to completion.
func (u *Upstream) writeRunError(w http.ResponseWriter, r *http.Request, err error) {
	switch {
	case errors.Is(err, errOverloaded):
		u.recorder.updateTotals(func(t *Totals) { t.Shed++ })
		w.Header().Set("Retry-After", "1")
		writeJSON(w, http.StatusServiceUnavailable, map[string]string{"error": err.Error()})
	case r.Context().Err() != nil:
		u.recorder.updateTotals(func(t *Totals) { t.Cancelled++ })
		panic(http.ErrAbortHandler)
	default:
		u.recorder.updateTotals(func(t *Totals) { t.DeadlineExceeded++ })
		writeJSON(w, http.StatusGatewayTimeout, map[string]string{"error": "deadline exceeded"})
	}
}

func (u *Upstream) writeEcho(w http.ResponseWriter, key RequestKey, bodyBytes int64, size int, mode Mode) {
	data, err := encodeEcho(Echo{
		Upstream: u.config.ID, Customer: key.Customer, RequestID: key.RequestID, Method: key.Method,
		Path: key.Path, IdempotencyKey: key.IdempotencyKey, BodyBytes: bodyBytes,
	}, size)
	if err != nil {
		writeError(w, err)
		return
	}
	if key.RequestID != "" {
		w.Header().Set("X-Request-Id", key.RequestID)
	}
	status := http.StatusOK
	if mode == ModeFailAfterRun {
		status = http.StatusInternalServerError
	}
	writeResponse(w, status, data, mode == ModeCut)
}

// failStatus returns the status with which a mode rejects requests, or 0 if it runs them.
func failStatus(mode Mode) int {
	switch mode {
	case ModeFail500:
		return http.StatusInternalServerError
	case ModeFail503, ModeDraining503:
		return http.StatusServiceUnavailable
	default:
		return 0
	}
}

// withDeadline applies X-Request-Deadline-Ms, the remaining time of the request.
func withDeadline(r *http.Request) (context.Context, context.CancelFunc, error) {
	text := r.Header.Get("X-Request-Deadline-Ms")
	if text == "" {
		return r.Context(), func() {}, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms < 0 || ms > maxDelay.Milliseconds() {
		return nil, nil, errors.WithType(errors.New("X-Request-Deadline-Ms is not a number of milliseconds"), ErrInvalidConfig)
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
	return ctx, cancel, nil
}
