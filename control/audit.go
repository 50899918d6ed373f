package control

import (
	"net/http"

	"github.com/sirupsen/logrus"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/document"
)

// Results of a submission that no state machine gave.
const (
	resultInvalid     = "invalid"
	resultUnknown     = "outcome_unknown"
	resultUnavailable = "unavailable"
	resultRepeated    = "repeated"
)

// audit logs and counts the end of a submission. The document itself is never
// logged; it holds digests of keys.
func (d *Daemon) audit(submit *apipb.SubmitDocument, result string) {
	d.metrics.recordSubmission(submit.Environment, result)
	d.cfg.Log.WithFields(logrus.Fields{
		"operator": submit.Operator, "environment": environmentNames[submit.Environment], "number": submit.Number,
		"digest": document.Digest(submit.Document), "result": result,
	}).Info("document submitted")
}

// rejectDocument answers a document that cannot be in force anywhere.
func (a *operatorAPI) rejectDocument(w http.ResponseWriter, submit *apipb.SubmitDocument, message string) {
	a.daemon.audit(submit, resultInvalid)
	writeError(w, http.StatusUnprocessableEntity, "invalid_document", message)
}
