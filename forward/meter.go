package forward

import (
	"context"

	"pistachiomount.example/pistachiomount/grant"
)

// meter charges the bytes of one attempt to the links in both directions.
type meter struct {
	links     LinkGrants
	near, far string
	request   int
	credit    int // charged for the answer and not used yet
	// The charges that unused bytes are given back to.
	requestCharge, answerCharge grant.Reservation
}

// newMeter returns a meter that charges nothing within one region.
func newMeter(links LinkGrants, near, far string) meter {
	if near == far {
		links = nil
	}
	return meter{links: links, near: near, far: far}
}

// open charges the request and the first part of its answer.
func (m *meter) open(ctx context.Context, request int) error {
	if m.links == nil {
		return nil
	}
	charge, err := m.links.Wait(ctx, m.near, m.far, request)
	if err != nil {
		return err
	}
	m.request, m.requestCharge = request, charge
	return m.before(ctx, linkReserve)
}

// before waits until n bytes of the answer may be read.
func (m *meter) before(ctx context.Context, n int) error {
	if m.links == nil || n <= m.credit {
		return nil
	}
	charge, err := m.links.Wait(ctx, m.far, m.near, n-m.credit)
	if err != nil {
		return err
	}
	m.credit, m.answerCharge = n, charge
	return nil
}

// passed notes n bytes of the answer. They were charged unless they belong to
// a head larger than the first charge.
func (m *meter) passed(n int) { m.credit = max(0, m.credit-n) }

// close gives back what was not used.
func (m *meter) close(sent bool) {
	if m.links == nil {
		return
	}
	if !sent && m.request > 0 {
		m.links.Refund(m.near, m.far, m.requestCharge, m.request)
	}
	if m.credit > 0 {
		m.links.Refund(m.far, m.near, m.answerCharge, m.credit)
	}
	m.request, m.credit = 0, 0
}
