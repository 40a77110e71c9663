package rawhttp

import "fmt"

// Answer is an answer as it is sent.
type Answer struct {
	Framing    string // name of the way in which the body is framed
	Head, Body string
	Payload    string // body without its framing
	Unframed   bool   // neither a length nor chunks: the body ends with the connection
}

// Framings returns an answer with its body in each kind of framing. head is the status line
// and the headers without the blank line.
func Framings(head, body string) []Answer {
	half := len(body) / 2
	chunks := fmt.Sprintf("%x\r\n%s\r\n%x;x=y\r\n%s\r\n0\r\n", half, body[:half], len(body)-half, body[half:])
	return []Answer{
		{Framing: "length", Head: head + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)), Body: body, Payload: body},
		{Framing: "chunks", Head: head + "Transfer-Encoding: chunked\r\n\r\n", Body: chunks + "\r\n", Payload: body},
		{
			Framing: "trailers", Head: "HTTP/1.1 100 Continue\r\n\r\n" + head + "Transfer-Encoding: chunked\r\nTrailer: A\r\n\r\n",
			Body: chunks + "A: b\r\n\r\n", Payload: body,
		},
		{Framing: "none", Head: head + "\r\n", Body: body, Payload: body, Unframed: true},
	}
}

// InvalidStatuses are statuses that no final answer has and that net/http accepts.
var InvalidStatuses = []string{"000", "099", "+20", "101"}

// HeadLines are lines in the head of an answer, and whether it is valid with them.
var HeadLines = map[string]bool{
	"A:b c: d\r\nB:":                 true,
	"A: b\nB:\tc":                    true,
	"X Y: 1":                         false,
	"X-Y : 1":                        false,
	" X: 1":                          false,
	"A: b\r\n X: 1":                  false,
	"A: b\r\n\tX: 1":                 false,
	"X\x00: 1":                       false,
	"X\x01Y: 1":                      false,
	"X\tY: 1":                        false,
	"X\x7f: 1":                       false,
	"\vX: 1":                         false,
	"Content-Length : 4":             false,
	"Content-Length\t: 4":            false,
	"\rContent-Length: 4":            false,
	"A: b\r\n Content-Length: 4":     false,
	"Transfer-Encoding : chunked":    false,
	"Transfer-Encoding\x01: chunked": false,
}

// Cut is the part of an answer that is sent before the connection ends. An answer that has
// neither a length nor chunks is whole with any body, but not without one: a server that ends
// before its first byte looks like that, and one that has no body to send names the length 0.
type Cut struct {
	Text    string
	Reset   bool   // the connection ends with a reset, and otherwise regularly
	Payload string // what is to be taken for the body if Whole is set
	HasHead bool   // the head is whole
	Whole   bool   // the answer is whole, as far as can be told
}

// Cuts returns the answer cut off at each of its bytes, with both ends of the connection.
func (a Answer) Cuts() []Cut {
	text := a.Head + a.Body
	var out []Cut
	for n := range len(text) + 1 {
		for _, reset := range []bool{false, true} {
			c := Cut{Text: text[:n], Reset: reset, Payload: a.Payload, HasHead: n >= len(a.Head)}
			c.Whole = n == len(text)
			if a.Unframed {
				c.Payload = text[min(len(a.Head), n):n]
				c.Whole = c.Payload != "" && !reset
			}
			out = append(out, c)
		}
	}
	return out
}
