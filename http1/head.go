package http1

import (
	"bufio"
	"bytes"
	"cmp"
	"net/http"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"
)

// parseRequest parses the head of a request and determines how its body is framed.
func parseRequest(head []byte) (*http.Request, bodyFraming, error) {
	if err := checkFraming(head); err != nil {
		return nil, bodyFraming{}, err
	}
	request, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(head)))
	if err != nil {
		return nil, bodyFraming{}, errors.Wrap(err, "read the head of a request")
	}
	if len(request.TransferEncoding) > 0 {
		return request, bodyFraming{chunked: true}, nil
	}
	return request, bodyFraming{length: max(0, request.ContentLength)}, nil
}

// parseResponse parses the head of an answer to a request with the given method and determines how its body is
// framed.
func parseResponse(head []byte, method string) (*http.Response, bodyFraming, error) {
	if err := cmp.Or(checkStatus(head), checkFieldCount(head)); err != nil {
		return nil, bodyFraming{}, err
	}
	if err := checkFraming(head); err != nil {
		return nil, bodyFraming{}, err
	}
	response, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(head)), &http.Request{Method: method})
	if err != nil {
		return nil, bodyFraming{}, errors.Wrap(err, "read the head of an answer")
	}
	switch {
	case hasNoBody(response.StatusCode, method):
		return response, bodyFraming{}, nil
	case len(response.TransferEncoding) > 0:
		return response, bodyFraming{chunked: true}, nil
	case response.ContentLength < 0:
		return response, bodyFraming{untilClose: true}, nil
	default:
		return response, bodyFraming{length: response.ContentLength}, nil
	}
}

// The statuses that an answer can have.
const (
	minStatus = http.StatusContinue
	maxStatus = 599
)

// maxAnswerFields bounds the fields of an answer's head. Each takes more than a hundred bytes of memory, however short it is.
const maxAnswerFields = 512

// checkFieldCount rejects heads with more fields than an answer has.
func checkFieldCount(head []byte) error {
	if fields := bytes.Count(head, []byte("\n")) - 2; fields > maxAnswerFields { // The status line and the empty line are none.
		return errors.Errorf("the head of an answer has %d fields, which are more than %d", fields, maxAnswerFields)
	}
	return nil
}

// checkStatus rejects heads whose status is no number of three digits from minStatus to maxStatus, and those that switch to another
// protocol, which no request asks for. net/http accepts some of them.
func checkStatus(head []byte) error {
	line, _, _ := bytes.Cut(head, []byte("\r\n"))
	_, rest, _ := strings.Cut(string(line), " ")
	text, _, _ := strings.Cut(strings.TrimLeft(rest, " "), " ")
	status, err := strconv.ParseUint(text, 10, 16)
	if err != nil || len(text) != 3 || status < minStatus || status > maxStatus || status == http.StatusSwitchingProtocols {
		return errors.Errorf("%.40q is no status line of an answer", line)
	}
	return nil
}

func hasNoBody(status int, method string) bool {
	return method == http.MethodHead || status < http.StatusOK || status == http.StatusNoContent || status == http.StatusNotModified
}

// checkFraming rejects heads that state the body's length more than once (by Content-Length and Transfer-Encoding
// fields), or with fields that other HTTP implementations may parse differently, such as one with a CR or LF that is
// not part of a CRLF. net/http accepts some of these heads.
func checkFraming(head []byte) error {
	lengths, encodings := 0, 0
	lines := strings.Split(string(head), "\r\n")
	for _, field := range lines[1:] {
		if strings.ContainsAny(field, "\r\n") {
			return errors.New("a field of the head contains a bare end of line")
		}
		if field == "" {
			continue
		}
		name, _, _ := strings.Cut(field, ":")
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Errorf("%q is no name of a header field", name)
		}
		switch {
		case strings.EqualFold(name, "Content-Length"):
			lengths++
		case strings.EqualFold(name, "Transfer-Encoding"):
			encodings++
		}
	}
	if lengths > 1 || encodings > 1 || lengths+encodings > 1 {
		return errors.New("the head tells the length of its body more than once")
	}
	return nil
}

// ExpectsContinue reports whether the client waits for a 100 Continue before it sends the body.
func ExpectsContinue(head *http.Request) bool {
	return strings.EqualFold(head.Header.Get("Expect"), "100-continue")
}
