// Package operator is a client of the control daemons' operator API. It tries the
// control daemons in order and follows redirects to the leader. Submissions are
// idempotent: after a lost response the same document can be sent again and gets
// the result of the first submission.
package operator
