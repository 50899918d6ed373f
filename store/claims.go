package store

import (
	"bytes"
	"container/list"

	"pistachiomount.example/pistachiomount/apipb"
)

// requestKey identifies a request that carries an idempotency key.
type requestKey struct {
	customer, route, idempotencyKey string
}

// claims records which non-idempotent requests may have run. Replies depend only
// on the records in creation order, so a member restored from a snapshot gives
// the same replies as the others.
type claims struct {
	byKey map[requestKey]*list.Element
	order *list.List // of *claimEntry, oldest first
	// oldestBody is the oldest entry that may have a stored body.
	oldestBody *list.Element
	bodyBytes  int
	lastSeq    uint64
}

type claimEntry struct {
	record *apipb.ClaimRecord
	seq    uint64
}

func newClaims() *claims {
	return &claims{byKey: map[requestKey]*list.Element{}, order: list.New()}
}

func recordKey(r *apipb.ClaimRecord) requestKey {
	return requestKey{r.Customer, r.Route, r.IdempotencyKey}
}

func (c *claims) find(key requestKey) *list.Element { return c.byKey[key] }

func recordOf(e *list.Element) *apipb.ClaimRecord { return e.Value.(*claimEntry).record }

func (c *claims) claim(request *apipb.ClaimRequest, nowMS int64) *apipb.ClaimReply {
	key := requestKey{request.Customer, request.Route, request.IdempotencyKey}
	if found := c.find(key); found != nil {
		return replyToRepeatedClaim(recordOf(found), request)
	}
	if c.order.Len() >= MaxClaims {
		return &apipb.ClaimReply{Status: apipb.ClaimStatus_CLAIM_STATUS_FULL}
	}
	c.add(&apipb.ClaimRecord{
		Customer:       request.Customer,
		Route:          request.Route,
		IdempotencyKey: request.IdempotencyKey,
		BodyDigest:     request.BodyDigest,
		AttemptId:      request.AttemptId,
		Holder:         request.Holder,
		CreatedMs:      nowMS,
	})
	return &apipb.ClaimReply{Status: apipb.ClaimStatus_CLAIM_STATUS_GRANTED}
}

// replyToRepeatedClaim replies to a request for an existing claim. The attempt
// that holds the claim is granted it again, because the first reply may have been
// lost before the attempt sent anything.
func replyToRepeatedClaim(found *apipb.ClaimRecord, request *apipb.ClaimRequest) *apipb.ClaimReply {
	switch {
	case !bytes.Equal(found.BodyDigest, request.BodyDigest):
		return &apipb.ClaimReply{Status: apipb.ClaimStatus_CLAIM_STATUS_MISMATCH}
	case found.Outcome != nil:
		return &apipb.ClaimReply{Status: apipb.ClaimStatus_CLAIM_STATUS_DONE, Outcome: found.Outcome}
	case found.AttemptId == request.AttemptId:
		return &apipb.ClaimReply{Status: apipb.ClaimStatus_CLAIM_STATUS_GRANTED}
	}
	return &apipb.ClaimReply{Status: apipb.ClaimStatus_CLAIM_STATUS_RUNNING}
}

func (c *claims) complete(request *apipb.CompleteRequest) *apipb.CompleteReply {
	element := c.find(requestKey{request.Customer, request.Route, request.IdempotencyKey})
	if element == nil || request.Outcome == nil || recordOf(element).AttemptId != request.AttemptId {
		return &apipb.CompleteReply{}
	}
	switch record := recordOf(element); {
	case record.Outcome != nil:
	case request.Outcome.NotRun:
		c.remove(element)
	default:
		record.Outcome = request.Outcome
		c.retainBody(element)
	}
	return &apipb.CompleteReply{Recorded: true}
}

func (c *claims) add(record *apipb.ClaimRecord) {
	c.lastSeq++
	element := c.order.PushBack(&claimEntry{record: record, seq: c.lastSeq})
	c.byKey[recordKey(record)] = element
	if record.Outcome != nil {
		c.retainBody(element)
	}
}

func (c *claims) remove(element *list.Element) {
	record := recordOf(element)
	c.dropBody(record)
	if c.oldestBody == element {
		c.oldestBody = element.Next()
	}
	delete(c.byKey, recordKey(record))
	c.order.Remove(element)
}

// retainBody counts the response body of an outcome and drops the oldest bodies
// while the total exceeds MaxClaimBodyBytes. An outcome without its body still
// tells that the request ran and with which status.
func (c *claims) retainBody(element *list.Element) {
	outcome := recordOf(element).Outcome
	if len(outcome.Body) > MaxOutcomeBytes {
		outcome.Body, outcome.BodyOmitted = nil, true
	}
	if len(outcome.Body) == 0 {
		return
	}
	c.bodyBytes += len(outcome.Body)
	if c.oldestBody == nil || element.Value.(*claimEntry).seq < c.oldestBody.Value.(*claimEntry).seq {
		c.oldestBody = element
	}
	for c.bodyBytes > MaxClaimBodyBytes {
		c.dropBody(recordOf(c.oldestBody))
		c.oldestBody = c.oldestBody.Next()
	}
}

func (c *claims) dropBody(record *apipb.ClaimRecord) {
	if record.Outcome == nil || len(record.Outcome.Body) == 0 {
		return
	}
	c.bodyBytes -= len(record.Outcome.Body)
	// Replies that are still being sent share the old outcome, so it is replaced
	// instead of modified.
	record.Outcome = &apipb.Outcome{
		StatusCode: record.Outcome.StatusCode, Headers: record.Outcome.Headers, BodyOmitted: true,
	}
}

func (c *claims) expire(nowMS int64) {
	for front := c.order.Front(); front != nil; front = c.order.Front() {
		if recordOf(front).CreatedMs+ClaimRetention.Milliseconds() > nowMS {
			return
		}
		c.remove(front)
	}
}
