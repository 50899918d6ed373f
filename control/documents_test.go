package control

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/matryer/is"

	"pistachiomount.example/pistachiomount/document"
)

// submitConcurrently submits two variants of one number at two daemons at the same time.
func submitConcurrently(a, b *simNode, number uint64) (codes [2]int, reports [2]SubmitReport) {
	var wg sync.WaitGroup
	for i, n := range []*simNode{a, b} {
		wg.Go(func() { codes[i], reports[i] = n.submit("trial", documentOf(number, i)) })
	}
	wg.Wait()
	return codes, reports
}

// currentDigest returns the digest of the newest document that the daemon reports to
// operators.
func currentDigest(n *simNode) string {
	var report HistoryReport
	if n.request(http.MethodGet, "/v1/environments/trial/history", operatorToken, nil, &report) != http.StatusOK || len(report.Documents) == 0 {
		return ""
	}
	return report.Documents[0].Digest
}

// Guards against two operators who are both told that their document with the same number
// was accepted, and against a rejection that does not tell which document is in force.
func TestOneOfTwoConcurrentDocumentsIsAccepted(t *testing.T) {
	simulate(t, 3, func(b *simCluster) {
		is := is.New(b.t)
		for number := range uint64(6) {
			number++
			first, second := b.nodes[number%3], b.nodes[(number+1)%3]
			codes, reports := submitConcurrently(first, second, number)
			won := 0
			if codes[1] == http.StatusOK {
				won = 1
			}
			is.Equal(codes[won], http.StatusOK)
			is.Equal(codes[1-won], http.StatusConflict)
			is.Equal(reports[1-won].NumberInForce, number)
			is.Equal(reports[1-won].DigestInForce, document.Digest(documentOf(number, won)))
			for _, n := range b.nodes {
				is.Equal(currentDigest(n), reports[won].Digest)
			}
		}
	})
}

// Guards against a resend that is evaluated again after its answer was lost: the sender
// would be told of a conflict although its document was accepted.
func TestResendGetsTheFirstAnswer(t *testing.T) {
	simulate(t, 3, func(b *simCluster) {
		is := is.New(b.t)
		leader := b.leader()
		sender := b.others(leader)[0]
		b.net.setCut(leader.name, sender.name, true) // the answer to the forwarded command is lost
		code, _ := sender.submit("trial", documentOf(1, 0))
		is.Equal(code, http.StatusGatewayTimeout)
		b.net.setCut(leader.name, sender.name, false)
		first := b.leader().mustSubmit("trial", documentOf(1, 0))
		is.True(first.Repeated)
		promoted := sender.mustSubmit("production", documentOf(1, 0))
		for number := uint64(2); number <= 4; number++ {
			sender.mustSubmit("trial", documentOf(number, 0))
		}
		check := func() {
			for _, n := range b.nodes {
				for env, answer := range map[string]SubmitReport{"trial": first, "production": promoted} {
					again := n.mustSubmit(env, documentOf(1, 0))
					is.True(again.Repeated)
					is.Equal(again.Revision, answer.Revision)
					is.Equal(again.Number, answer.Number)
				}
			}
		}
		check()
		for _, n := range b.nodes {
			n.crash()
		}
		for _, n := range b.nodes {
			n.start()
		}
		former := b.leader()
		former.crash()
		b.leader(former)
		former.start()
		check()
	})
}

// Guards against a document that is acknowledged by a minority, and against a daemon that
// deposes the leader when it returns from a long partition.
func TestIsolatedDaemonAcceptsNothing(t *testing.T) {
	simulate(t, 3, func(b *simCluster) {
		is := is.New(b.t)
		leader := b.leader()
		isolated := b.others(leader)[0]
		b.net.setIsolated(isolated.name, true)
		codes, _ := submitConcurrently(isolated, b.others(isolated, leader)[0], 1)
		is.True(codes[0] >= http.StatusInternalServerError)
		is.Equal(codes[1], http.StatusOK)
		time.Sleep(time.Minute) // many election timeouts
		code, _ := isolated.submit("trial", documentOf(2, 0))
		is.True(code >= http.StatusInternalServerError)
		term := leader.status().Term
		b.net.setIsolated(isolated.name, false)
		var report SubmitReport
		b.eventually("an answer after the partition", func() bool {
			code, report = isolated.submit("trial", documentOf(1, 0))
			return code < http.StatusInternalServerError
		})
		is.Equal(code, http.StatusConflict)
		is.Equal(report.DigestInForce, document.Digest(documentOf(1, 1)))
		time.Sleep(5 * time.Second)
		is.Equal(leader.status().Term, term) // the leader was not deposed
	})
}

// Guards against a leader that keeps acknowledging although it cannot receive, send, or
// both, and against a group that stays without a leader in this case.
func TestPartitionedLeaderIsReplaced(t *testing.T) {
	for name, directions := range map[string][2]bool{"cannot receive": {true, false}, "cannot send": {false, true}, "both": {true, true}} {
		t.Run(name, func(t *testing.T) {
			simulate(t, 3, func(b *simCluster) {
				is := is.New(b.t)
				old := b.leader()
				for _, n := range b.others(old) {
					b.net.setCut(n.name, old.name, directions[0])
					b.net.setCut(old.name, n.name, directions[1])
				}
				code, _ := old.submit("trial", documentOf(1, 0))
				is.True(code >= http.StatusInternalServerError)
				next := b.leader(old)
				// The next leader may commit an entry that the old one could still send.
				code, report := next.submit("trial", documentOf(1, 1))
				is.True(code == http.StatusOK || name == "cannot receive" && report.DigestInForce == document.Digest(documentOf(1, 0)))
				b.net.setIsolated(old.name, false)
				b.eventually("the old leader follows", func() bool { return currentDigest(old) == report.DigestInForce })
			})
		})
	}
}

// Guards against a daemon that continues after a failed write: it would acknowledge
// entries that a restart loses.
func TestFailedSyncStopsTheDaemon(t *testing.T) {
	simulate(t, 3, func(b *simCluster) {
		is := is.New(b.t)
		leader := b.leader()
		follower := b.others(leader)[0]
		follower.storage.setFailing(true)
		leader.mustSubmit("trial", documentOf(1, 0))
		is.True(errors.Is(<-follower.ended, ErrStorage))
		leader.storage.setFailing(true)
		code, _ := leader.submit("trial", documentOf(2, 0))
		is.Equal(code, http.StatusGatewayTimeout)
		is.True(errors.Is(<-leader.ended, ErrStorage))
		follower.storage.setFailing(false)
		follower.start()
		next := b.leader(leader)
		is.Equal(currentDigest(next), document.Digest(documentOf(1, 0))) // no acknowledged document is lost
		next.mustSubmit("trial", documentOf(2, 1))
	})
}

// Guards against access without a known operator token, on every path.
func TestUnknownOperatorsAreRejected(t *testing.T) {
	simulate(t, 1, func(b *simCluster) {
		for _, path := range []string{
			"POST /v1/init", "GET /v1/members", "GET /v1/status", "POST /v1/environments/trial/documents",
			"GET /v1/environments/trial/documents/1", "GET /v1/environments/trial/history",
		} {
			method, url, _ := strings.Cut(path, " ")
			for _, token := range []string{"", "wrong", tokenDigest, operatorToken + " "} {
				if code := b.nodes[0].request(method, url, token, documentOf(1, 0), nil); code != http.StatusUnauthorized {
					t.Errorf("%s with token %q: %d, expected 401", path, token, code)
				}
			}
		}
		if currentDigest(b.nodes[0]) != "" {
			t.Error("a document of an unknown operator was accepted")
		}
	})
}
