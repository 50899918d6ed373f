// Package responsehead checks the status lines of HTTP/1 responses before net/http parses them.
//
// net/http accepts any three characters that strconv.Atoi takes as a status of 0 or more, such as 000, 001 and +20, any
// number of blanks before it, and any version HTTP/x.y of two digits. It refuses other lengths, negative numbers and
// other forms of the version. Its client skips all responses with a status from 100 to 199 but 101, whatever their version.
package responsehead
