package ibistcp

// MalformedHeads returns the begins of heads that no sound server sends, by what is wrong with them. More fields and the end of the head
// may follow.
func MalformedHeads() map[string]string {
	heads := make(map[string]string)
	for _, status := range []string{"000", "001", "020", "099", "101", "+20", "20", "2000"} {
		heads["status "+status] = "HTTP/1.1 " + status + " X\r\n"
	}
	return heads
}
