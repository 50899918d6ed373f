// Package admission decides how long a request waits for room at an entry VM, in what
// order waiting requests get it, and when a caller that was turned away comes back. It
// answers load above the slots, callers that are refused together, and outages of the
// whole system. It does no input and output.
package admission
