package forward

import (
	"context"

	"pistachiomount.example/pistachiomount/grant"
)

// linkMeter charges the bytes of one attempt to the link grants of both directions.
type linkMeter struct {
	links         LinkGrants
	local, remote string
	request       int
	credit        int // charged for the response and not used yet
	// The charges from which unused bytes are refunded.
	requestCharge, answerCharge grant.Reservation
}

// newMeter returns a meter that charges nothing within one region.
func newMeter(links LinkGrants, local, remote string) linkMeter {
	if local == remote {
		links = nil
	}
	return linkMeter{links: links, local: local, remote: remote}
}

// chargeRequest charges the request and the first part of its response.
func (m *linkMeter) chargeRequest(ctx context.Context, request int) error {
	if m.links == nil {
		return nil
	}
	charge, err := m.links.Wait(ctx, m.local, m.remote, request)
	if err != nil {
		return err
	}
	m.request, m.requestCharge = request, charge
	return m.reserve(ctx, initialResponseCharge)
}

// reserve waits until n bytes of the response may be read.
func (m *linkMeter) reserve(ctx context.Context, n int) error {
	if m.links == nil || n <= m.credit {
		return nil
	}
	charge, err := m.links.Wait(ctx, m.remote, m.local, n-m.credit)
	if err != nil {
		return err
	}
	m.credit, m.answerCharge = n, charge
	return nil
}

// consume records that n bytes of the response were read. Only headers larger than the
// initial charge can exceed the credit.
func (m *linkMeter) consume(n int) { m.credit = max(0, m.credit-n) }

// close refunds the bytes that were not used.
func (m *linkMeter) close(sent bool) {
	if m.links == nil {
		return
	}
	if !sent && m.request > 0 {
		m.links.Refund(m.local, m.remote, m.requestCharge, m.request)
	}
	if m.credit > 0 {
		m.links.Refund(m.remote, m.local, m.answerCharge, m.credit)
	}
	m.request, m.credit = 0, 0
}
