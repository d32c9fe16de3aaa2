package ibistcp

import "fmt"

// MalformedHeads returns the begins of heads that no sound server sends, by what is wrong with them. More fields and the end of the head
// may follow.
func MalformedHeads() map[string]string {
	heads := make(map[string]string)
	for _, status := range []string{"000", "001", "020", "099", "101", "+20", "20", "2000"} {
		heads["status "+status] = "HTTP/1.1 " + status + " X\r\n"
	}
	for _, field := range []string{
		"Odd Name: 1", "Odd\tName: 1", "Odd\x01Name: 1", "Odd\x7f: 1", "Odd\x00: 1", "\x00Odd: 1", "\rOdd: 1", "Odd\xe4: 1", "Odd(1): 1",
		": 1", "Odd", " Odd: 1", "\tOdd: 1", "  Content-Length: 3", "Content-Length : 3", "Content Length: 3", "Transfer-Encoding : chunked",
		"Attempt-Id : x", "Connection\t: close",
	} {
		heads[fmt.Sprintf("field %q", field)] = "HTTP/1.1 200 OK\r\nServer: s\r\n" + field + "\r\n"
	}
	heads["transfer encoding in HTTP/1.0"] = "HTTP/1.0 200 OK\r\ntransfer-Encoding: chunked\r\n"
	return heads
}
