package headtest

// InvalidLines returns status lines that begin no response. net/http accepts most of them, also before it returns
// the response that follows them.
func InvalidLines() []string {
	return []string{
		"HTTP/1.1 000 Odd", "HTTP/1.1 001 Odd", "HTTP/1.1 099 Odd", "HTTP/1.1 +20 Odd", "HTTP/1.1 -00 Odd",
		"HTTP/1.1 600 Odd", "HTTP/1.1 999 Odd", "HTTP/1.1 2000 Odd", "HTTP/1.1 20 Odd", "HTTP/1.1 200Odd",
		"HTTP/1.1 101 Switching Protocols", "HTTP/1.1  200 OK", "HTTP/1.1\t200 OK", " HTTP/1.1 200 OK",
		"HTTP/2.0 200 OK", "HTTP/1.2 200 OK", "HTTP/0.9 200 OK", "http/1.1 200 OK", "HTTP/2.0 103 Early Hints",
		"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 Odd", "HTTP/1.1 100 Continue\r\nA: b\r\n\r\nHTTP/1.1  199 Odd",
	}
}
