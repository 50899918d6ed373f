// Package link decides how the long responses of a VM share its link with short ones.
package link
