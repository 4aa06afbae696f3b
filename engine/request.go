package engine

import (
	"strconv"
)

// appendRequest writes an HTTP/1.1 request with a JSON body.
func appendRequest(buffer []byte, method, path, host string, body []byte) []byte {
	buffer = append(buffer, method...)
	buffer = append(buffer, ' ')
	buffer = append(buffer, path...)
	buffer = append(buffer, " HTTP/1.1\r\nHost: "...)
	buffer = append(buffer, host...)
	if len(body) > 0 {
		buffer = append(buffer, "\r\nContent-Type: application/json"...)
	}
	buffer = append(buffer, "\r\nContent-Length: "...)
	buffer = strconv.AppendInt(buffer, int64(len(body)), 10)
	buffer = append(buffer, "\r\n\r\n"...)
	return append(buffer, body...)
}
