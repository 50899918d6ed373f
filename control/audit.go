package control

import (
	"net/http"

	"github.com/sirupsen/logrus"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/document"
)

// Results of a submission that the state machine does not report itself.
const (
	resultInvalid     = "invalid"
	resultUnknown     = "outcome_unknown"
	resultUnavailable = "unavailable"
	resultRepeated    = "repeated"
)

// audit logs and counts the result of a submission. It never logs the document, which
// holds digests of keys.
func (d *Daemon) audit(submit *apipb.SubmitDocument, result string) {
	d.metrics.recordSubmission(submit.Environment, result)
	d.cfg.Log.WithFields(logrus.Fields{
		"operator": submit.Operator, "environment": environmentNames[submit.Environment], "number": submit.Number,
		"digest": document.Digest(submit.Document), "result": result,
	}).Info("document submitted")
}

// rejectDocument answers a submission whose document is invalid.
func (a *operatorAPI) rejectDocument(w http.ResponseWriter, submit *apipb.SubmitDocument, message string) {
	a.daemon.audit(submit, resultInvalid)
	writeError(w, http.StatusUnprocessableEntity, "invalid_document", message)
}
