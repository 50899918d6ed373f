// Package reject defines the rejections that an entry VM sends to callers: the reason,
// whether the request may have run, and the encoding in HTTP.
package reject
