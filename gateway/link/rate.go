package link

// maxSlowRate is the rate in bits per second up to which a link counts as slow: a body of 64 kB takes more than
// 5 ms on it, which others notice.
const maxSlowRate = 100_000_000

// Slow reports whether long responses noticeably delay others on a link of the given rate in bits per second;
// 0 stands for an unknown rate.
func Slow(rate int64) bool { return rate > 0 && rate <= maxSlowRate }
