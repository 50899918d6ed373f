// Package admission decides how long a request waits for a free slot at an entry VM, in
// which order waiting requests get slots, and after which delay a rejected caller retries.
// It handles load above the number of slots, callers that are rejected at the same moment,
// and outages of the whole system. It does no I/O.
package admission
