package standin

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"
)

// errShed tells that slots and queue are full.
const errShed = errors.ConstError("slots and queue are full")

// answer runs a request, or refuses it as the mode says.
func (u *Upstream) answer(w http.ResponseWriter, r *http.Request, b *Behaviour) {
	bodyBytes, err := u.read(r)
	if err != nil {
		u.recorder.count(func(t *Totals) { t.Cancelled++ })
		panic(http.ErrAbortHandler)
	}
	if status := failStatus(b.Mode); status != 0 {
		u.recorder.count(func(t *Totals) { t.Failed++ })
		writeJSON(w, status, map[string]string{"error": "switched to fail"})
		return
	}
	ctx, cancel, err := withDeadline(r)
	if err != nil {
		writeError(w, err)
		return
	}
	defer cancel()
	size, err := wantedSize(r)
	if err != nil {
		writeError(w, err)
		return
	}
	key := keyOf(r)
	if err := u.run(ctx, key, b); err != nil {
		u.answerStopped(w, r, err)
		return
	}
	u.writeEcho(w, key, bodyBytes, size, b.Mode)
}

// read reads the body to its end and searches the whole request for secrets.
func (u *Upstream) read(r *http.Request) (int64, error) {
	u.recorder.sawHeaders(r.Header)
	u.scan.header("header", r.Header)
	u.scan.line(r)
	bodyBytes, err := u.scan.body(r.Body)
	u.recorder.sawHeaders(r.Trailer)
	u.scan.header("trailer", r.Trailer)
	return bodyBytes, err
}

// run takes a slot and waits for the service time.
func (u *Upstream) run(ctx context.Context, key RequestKey, b *Behaviour) error {
	if err := u.takeSlot(ctx); err != nil {
		return err
	}
	defer func() { <-u.slots }()
	u.recorder.start(key)
	err := u.config.Wait(ctx, u.serviceTime(b))
	u.recorder.stop(key, err == nil)
	return err
}

func (u *Upstream) takeSlot(ctx context.Context) error {
	select {
	case u.slots <- struct{}{}:
		return nil
	default:
	}
	defer u.waiting.Add(-1)
	if u.waiting.Add(1) > int64(u.config.Queue) {
		return errShed
	}
	select {
	case u.slots <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// answerStopped answers a request that did not run to its end.
func (u *Upstream) answerStopped(w http.ResponseWriter, r *http.Request, err error) {
	switch {
	case errors.Is(err, errShed):
		u.recorder.count(func(t *Totals) { t.Shed++ })
		w.Header().Set("Retry-After", "1")
		writeJSON(w, http.StatusServiceUnavailable, map[string]string{"error": err.Error()})
	case r.Context().Err() != nil:
		u.recorder.count(func(t *Totals) { t.Cancelled++ })
		panic(http.ErrAbortHandler)
	default:
		u.recorder.count(func(t *Totals) { t.DeadlineExceeded++ })
		writeJSON(w, http.StatusGatewayTimeout, map[string]string{"error": "deadline exceeded"})
	}
}

func (u *Upstream) writeEcho(w http.ResponseWriter, key RequestKey, bodyBytes int64, size int, mode Mode) {
	data, err := answerBytes(Echo{
		Upstream: u.config.ID, Customer: key.Customer, RequestID: key.RequestID, Method: key.Method,
		Path: key.Path, IdempotencyKey: key.IdempotencyKey, BodyBytes: bodyBytes,
	}, size)
	if err != nil {
		writeError(w, err)
		return
	}
	status := http.StatusOK
	if mode == ModeFailAfterRun {
		status = http.StatusInternalServerError
	}
	writeAnswer(w, status, data, mode == ModeCut)
}

// failStatus returns the status with which a mode refuses requests, or 0.
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

// withDeadline applies X-Request-Deadline-Ms, the time left for the request.
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
