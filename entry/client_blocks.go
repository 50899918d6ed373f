package entry

import (
	"net/netip"

	"github.com/juju/errors"

	"pistachiomount.example/pistachiomount/clientmap"
	"pistachiomount.example/pistachiomount/document"
)

// newBlockTable returns the table of the client blocks of a document.
func newBlockTable(doc *document.Document) (*clientmap.Table, error) {
	blocks := make([]clientmap.Block, 0, len(doc.ClientBlocks))
	for _, b := range doc.ClientBlocks {
		prefix, err := netip.ParsePrefix(b.CIDR)
		if err != nil {
			return nil, errors.Annotatef(err, "client block %q", b.CIDR)
		}
		blocks = append(blocks, clientmap.Block{Prefix: prefix, Site: clientmap.Site{Region: b.Region}})
	}
	table, err := clientmap.NewTable(blocks)
	return table, errors.Trace(err)
}
