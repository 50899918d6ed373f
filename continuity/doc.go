// Package continuity detects pauses of the process, in which it was stopped, or its VM frozen or suspended.
//
// A process that runs notices by failed calls that what it knows becomes old. After a pause it does not: nothing failed,
// and the first that it reads may be a request that waited on a socket all the time. Therefore each user of a Monitor
// asks it at the moment of use, and whoever asks first after a pause finds it.
package continuity
