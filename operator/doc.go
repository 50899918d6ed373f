// Package operator is the client of the control daemons' operator interface. It
// tries each control daemon in turn and follows the leader where one is named.
// A submission whose answer was lost can be sent again: the first answer is
// given again.
package operator
