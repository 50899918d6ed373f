// Package ratetokens decides how many tokens of a customer's rate a VM takes in advance from the VM that
// owns the rate.
//
// It answers this load: many VMs share a rate that one of them owns, and a message between two VMs waits
// behind long responses on slow links. With one call for each request, some requests wait for hundreds of
// milliseconds or find no token, although the customer is well within its rate.
//
// The package does no I/O, starts no goroutines and gets the time as an argument.
package ratetokens
