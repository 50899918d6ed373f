package clientmap

import "net/netip"

// Site is the region, and the site within it, that serves the callers of a block.
// Name is empty if the region is not divided into sites.
type Site struct {
	Region string
	Name   string
}

// Block assigns the callers whose addresses are in a prefix to a site.
type Block struct {
	Prefix netip.Prefix
	Site   Site
}

// canonical returns the block's prefix with host bits cleared and an IPv4-mapped
// prefix converted to IPv4, as lookups convert addresses. It returns false if the
// block is invalid.
func (b Block) canonical() (netip.Prefix, bool) {
	p := b.Prefix
	if !p.IsValid() || b.Site.Region == "" {
		return netip.Prefix{}, false
	}
	if p.Addr().Is4In6() {
		if p.Bits() < 96 {
			return netip.Prefix{}, false
		}
		p = netip.PrefixFrom(p.Addr().Unmap(), p.Bits()-96)
	}
	return p.Masked(), true
}
