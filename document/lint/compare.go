package lint

import "pistachiomount.example/pistachiomount/document"

// compare adds what differs from the version in force, and returns the report. digest is that of the document.
func (l *linter) compare(o Options, digest string) *Report {
	report := &Report{Compared: o.InForce != nil, Changes: []document.Change{}}
	if o.InForce != nil {
		report.Changes = document.Diff(o.InForce, l.doc)
		l.checkVersion(o, digest, report.Changes)
	}
	report.Findings = l.findings
	return report
}

func (l *linter) checkVersion(o Options, digest string, changes []document.Change) {
	inForce := o.InForce
	if l.doc.Deployment != inForce.Deployment {
		l.add(SeverityError, CodeDeployment, "deployment", "%q is in force for deployment %q", l.doc.Deployment, inForce.Deployment)
	}
	switch {
	case len(changes) == 0 && (o.DigestInForce == "" || digest == o.DigestInForce): // may be submitted again
	case len(changes) == 0: // the control plane compares the bytes
		l.add(SeverityError, CodeNumber, "number", "%d is in force with the same values but other bytes, such as white space", inForce.Number)
	case l.doc.Number <= inForce.Number:
		l.add(SeverityError, CodeNumber, "number", "%d is not above %d, the number in force", l.doc.Number, inForce.Number)
	case o.Consecutive && l.doc.Number != inForce.Number+1:
		l.add(SeverityError, CodeNumber, "number", "%d is not the number in force plus 1, %d", l.doc.Number, inForce.Number+1)
	}
	if len(changes) == 1 && changes[0].Path == "number" {
		l.warn(CodeUnchanged, "number", "nothing else differs from number %d, which is in force", inForce.Number)
	}
}
