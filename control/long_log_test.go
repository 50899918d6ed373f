package control

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"pistachiomount.example/pistachiomount/apipb"
)

// regionBandwidth is what one connection between regions passes, in bytes per second: a window of 128 KiB
// in each round trip of 110 ms.
const regionBandwidth = 1_150_000

// longDocument is a document with a comment of the given length that does not repeat itself.
func longDocument(number uint64, bytes int) []byte {
	rng := rand.New(rand.NewPCG(number, 0))
	var b strings.Builder
	b.Write(documentOf(number, int(number)))
	for b.Len() < bytes {
		fmt.Fprintf(&b, "# %016x%016x%016x%016x\n", rng.Uint64(), rng.Uint64(), rng.Uint64(), rng.Uint64())
	}
	return []byte(b.String())
}

// submitUntilAccepted submits a document until a daemon accepts it.
func (b *simCluster) submitUntilAccepted(raw []byte) {
	b.t.Helper()
	b.eventually("a document is accepted", func() bool {
		code, _ := b.leader().submit("trial", raw)
		return code == http.StatusOK
	})
}

func findVoter(set *apipb.MemberSet, id uint64) bool {
	for _, m := range set.GetMembers() {
		if m.Id == id {
			return m.Voter
		}
	}
	return false
}

// Guards against members that never catch up with a log of long entries: what they lacked was sent in one
// message, which did not pass between regions within the time of its call, and was sent again for ever.
// Members that are replaced one after the other then cost the group its majority.
func TestReplacedMembersCatchUpWithALongLog(t *testing.T) {
	const documents, documentBytes, catchUp = 40, 400 << 10, 6 * time.Second
	synctest.Test(t, func(t *testing.T) {
		simulateLinks(t, 1, 3, regionBandwidth, func(b *simCluster) {
			is := is.New(t)
			for number := range uint64(documents) {
				b.submitUntilAccepted(longDocument(number+1, documentBytes))
			}
			for i := range 4 {
				lost := b.nodes[i] // the oldest one
				lost.crash()
				b.leader()
				began := time.Now()
				successor := b.replace(lost)
				b.join(successor)
				b.eventually("the successor votes", func() bool { return findVoter(successor.status().Members, successor.member.Id) })
				t.Logf("successor %d votes after %v", i+1, time.Since(began))
				is.True(time.Since(began) < catchUp)
				is.Equal(currentDigest(successor), currentDigest(b.leader()))
			}
			b.submitUntilAccepted(longDocument(documents+1, documentBytes))
		})
	})
}

// Guards against a document whose transfer to the other members outlasts an election timeout, or the time
// of a short call: heartbeats waited behind it, and it was never accepted.
func TestLongDocumentIsAcceptedBetweenRegions(t *testing.T) {
	const documentBytes = 4 << 20
	synctest.Test(t, func(t *testing.T) {
		simulateLinks(t, 1, 3, regionBandwidth, func(b *simCluster) {
			is := is.New(t)
			leader := b.leader()
			term := leader.status().Term
			code, _ := leader.submit("trial", longDocument(1, documentBytes))
			is.Equal(code, http.StatusOK)
			is.Equal(b.leader().status().Term, term)
			b.eventually("all members have the document", func() bool {
				for _, n := range b.nodes {
					if currentDigest(n) != currentDigest(leader) {
						return false
					}
				}
				return true
			})
		})
	})
}
