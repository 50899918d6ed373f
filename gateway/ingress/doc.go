// Package ingress serves callers' HTTP/1.1 connections. Pipelined requests run concurrently and are
// answered in order. When a caller closes its connection, its pending requests are canceled.
package ingress
