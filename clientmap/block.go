package clientmap

import "net/netip"

// Site is the place that a block's callers are served from. Site names may be
// empty where a region is not divided further.
type Site struct {
	Region string
	Name   string
}

// Block assigns the callers of one prefix to a site.
type Block struct {
	Prefix netip.Prefix
	Site   Site
}

// canonical returns the block's prefix with host bits cleared and an IPv4-mapped
// prefix turned into an IPv4 one, as look-ups do with addresses.
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
