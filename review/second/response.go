package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
)

// readResponse reads an answer with its whole body.
func readResponse(conn net.Conn, method string) (*http.Response, error) {
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return nil, fmt.Errorf("the answer %d is not complete: %w", resp.StatusCode, err)
	}
	return resp, nil
}
