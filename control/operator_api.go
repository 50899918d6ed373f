package control

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/alexedwards/flow"
	"github.com/juju/errors"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/document"
	"pistachiomount.example/pistachiomount/store"
)

// historyLimit is the largest number of documents in one answer.
const historyLimit = 1000

// operatorAPI serves the HTTP interface for operators.
type operatorAPI struct {
	daemon *Daemon
	auth   operatorAuth
}

func (a *operatorAPI) routes(mux *flow.Mux) {
	mux.Group(func(mux *flow.Mux) {
		mux.Use(a.auth.requireToken)
		mux.HandleFunc("/v1/init", a.initialise, http.MethodPost)
		mux.HandleFunc("/v1/members", a.members, http.MethodGet)
		mux.HandleFunc("/v1/status", a.status, http.MethodGet)
		mux.HandleFunc("/v1/environments/:env/documents", a.submit, http.MethodPost)
		mux.HandleFunc("/v1/environments/:env/documents/:number", a.document, http.MethodGet)
		mux.HandleFunc("/v1/environments/:env/history", a.history, http.MethodGet)
	})
}

func (a *operatorAPI) initialise(w http.ResponseWriter, r *http.Request) {
	id, err := a.daemon.initialise(r.Context())
	switch {
	case errors.Is(err, ErrAlreadyInitialised):
		writeError(w, http.StatusConflict, "already_initialised", err.Error())
	case err != nil:
		writeError(w, http.StatusServiceUnavailable, "not_initialised", err.Error())
	default:
		writeJSON(w, http.StatusOK, InitReport{ClusterID: strconv.FormatUint(id, 16)})
	}
}

func (a *operatorAPI) submit(w http.ResponseWriter, r *http.Request) {
	env, ok := environmentFromPath(w, r)
	if !ok {
		return
	}
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, document.MaxBytes))
	if err != nil {
		a.daemon.metrics.recordSubmission(env, resultInvalid)
		writeError(w, http.StatusRequestEntityTooLarge, "invalid_document", "the document cannot be read or is larger than 8 MiB")
		return
	}
	operator, _ := a.auth.operator(r)
	submit := &apipb.SubmitDocument{Environment: env, Document: raw, Operator: operator}
	doc, err := document.Decode(raw)
	if err != nil {
		a.rejectDocument(w, submit, err.Error())
		return
	}
	submit.Number = doc.Number
	if doc.Deployment != a.daemon.cfg.Deployment {
		a.rejectDocument(w, submit, "deployment: "+strconv.Quote(doc.Deployment)+" is not this installation, "+strconv.Quote(a.daemon.cfg.Deployment))
		return
	}
	a.propose(w, r.Context(), submit)
}

func (a *operatorAPI) propose(w http.ResponseWriter, ctx context.Context, submit *apipb.SubmitDocument) {
	reply, err := (&controlService{daemon: a.daemon}).run(ctx,
		&apipb.Command{Body: &apipb.Command_SubmitDocument{SubmitDocument: submit}})
	switch {
	case errors.Is(err, ErrOutcomeUnknown):
		a.daemon.audit(submit, resultUnknown)
	case err != nil:
		a.daemon.audit(submit, resultUnavailable)
	case reply.Submit.Repeated:
		a.daemon.audit(submit, resultRepeated)
	default:
		a.daemon.audit(submit, submitStatus(reply.Submit))
	}
	if err != nil {
		writeEngineError(w, err)
		return
	}
	writeSubmitResult(w, reply.Submit)
}

// submitStatus returns the name of the decision in reports, metrics and logs.
func submitStatus(result *apipb.SubmitResult) string {
	switch result.Status {
	case apipb.SubmitStatus_SUBMIT_STATUS_ACCEPTED:
		return "accepted"
	case apipb.SubmitStatus_SUBMIT_STATUS_CONFLICT:
		return "conflict"
	case apipb.SubmitStatus_SUBMIT_STATUS_NOT_IN_TRIAL:
		return "not_in_trial"
	}
	return resultInvalid
}

func writeSubmitResult(w http.ResponseWriter, result *apipb.SubmitResult) {
	report := SubmitReport{
		Status: submitStatus(result),
		Number: result.Number, Digest: result.Digest, Revision: result.Revision, Repeated: result.Repeated,
		NumberInForce: result.NumberInForce, DigestInForce: result.DigestInForce, Message: result.Message,
	}
	code := http.StatusUnprocessableEntity
	switch result.Status {
	case apipb.SubmitStatus_SUBMIT_STATUS_ACCEPTED:
		code = http.StatusOK
	case apipb.SubmitStatus_SUBMIT_STATUS_CONFLICT, apipb.SubmitStatus_SUBMIT_STATUS_NOT_IN_TRIAL:
		code = http.StatusConflict
	}
	writeJSON(w, code, report)
}

func (a *operatorAPI) document(w http.ResponseWriter, r *http.Request) {
	env, ok := environmentFromPath(w, r)
	if !ok {
		return
	}
	var version *store.Version
	number := r.PathValue("number")
	found := a.readStore(w, r, func(s *store.Store) {
		if number == "current" {
			version = s.InForce(env)
			return
		}
		if n, err := strconv.ParseUint(number, 10, 64); err == nil {
			version = s.ByNumber(env, n)
		}
	})
	if !found {
		return
	}
	if version == nil {
		writeError(w, http.StatusNotFound, "not_found", "no document with this number is kept; history lists its digest")
		return
	}
	w.Header().Set("Content-Type", "application/yaml")
	w.Header().Set("X-Document-Number", strconv.FormatUint(version.Number, 10))
	w.Header().Set("X-Document-Digest", version.Digest)
	_, _ = w.Write(version.Raw)
}

func (a *operatorAPI) history(w http.ResponseWriter, r *http.Request) {
	env, ok := environmentFromPath(w, r)
	if !ok {
		return
	}
	report := HistoryReport{Documents: []HistoryItem{}}
	found := a.readStore(w, r, func(s *store.Store) {
		for _, h := range s.History(env, historyLimit) {
			report.Documents = append(report.Documents, HistoryItem{
				Number: h.Number, Digest: h.Digest, Revision: h.Revision, AcceptedMS: h.TimeMs, Operator: h.Operator,
			})
		}
	})
	if found {
		writeJSON(w, http.StatusOK, report)
	}
}

// readStore runs the function on a store that holds everything committed before the
// request. It writes an error response and returns false if that fails.
func (a *operatorAPI) readStore(w http.ResponseWriter, r *http.Request, f func(*store.Store)) bool {
	engine, err := a.daemon.currentEngine()
	if err == nil {
		ctx, cancel := context.WithTimeout(r.Context(), proposeTimeout)
		defer cancel()
		if err = engine.barrier(ctx); err == nil {
			err = engine.do(ctx, func() { f(engine.store) })
		}
	}
	if err != nil {
		writeEngineError(w, err)
	}
	return err == nil
}

func environmentFromPath(w http.ResponseWriter, r *http.Request) (apipb.Environment, bool) {
	switch r.PathValue("env") {
	case "trial":
		return apipb.Environment_ENVIRONMENT_TRIAL, true
	case "production":
		return apipb.Environment_ENVIRONMENT_PRODUCTION, true
	}
	writeError(w, http.StatusNotFound, "not_found", "the environments are trial and production")
	return 0, false
}

func writeEngineError(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, ErrOutcomeUnknown):
		writeError(w, http.StatusGatewayTimeout, "outcome_unknown", err.Error())
	case errors.Is(err, ErrNotInitialised):
		writeError(w, http.StatusServiceUnavailable, "not_initialised", err.Error())
	default:
		writeError(w, http.StatusServiceUnavailable, "unavailable", err.Error())
	}
}

func writeError(w http.ResponseWriter, status int, reason, message string) {
	writeJSON(w, status, ErrorReport{Error: ErrorDetail{Reason: reason, Message: message}})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // fails only if the client has disconnected
}
