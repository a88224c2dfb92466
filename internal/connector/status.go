package connector

import (
	"fmt"
	"net/http"
)

// Final replies have statuses from minFinalStatus to maxFinalStatus (RFC 9110, section 15).
const (
	minFinalStatus = http.StatusOK
	maxFinalStatus = 599
)

// StatusError reports a reply with a status that HTTP does not define for it. Nothing more can be read from the
// connection, as it isn't known where such a reply ends.
type StatusError struct{ Status int }

func (e *StatusError) Error() string { return fmt.Sprintf("status %03d is no reply", e.Status) }

// InterimBodyError reports an interim reply that states a body. What follows its head may be that body or a reply.
type InterimBodyError struct{ Status int }

func (e *InterimBodyError) Error() string {
	return fmt.Sprintf("interim reply %d that states a body", e.Status)
}

// InterimCountError reports a reply with too many interim ones before it.
type InterimCountError struct{ Limit int }

func (e *InterimCountError) Error() string {
	return fmt.Sprintf("more than %d interim replies", e.Limit)
}

// isInterim reports whether a reply precedes another one. No request here asks to switch protocols.
func isInterim(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}

// checkFinal checks the status of a reply that is not interim. Errors are *StatusError.
func checkFinal(status int) error {
	if status < minFinalStatus || status > maxFinalStatus {
		return &StatusError{Status: status}
	}
	return nil
}

// checkInterim checks that an interim reply states no body. Errors are *InterimBodyError.
func checkInterim(status int, h http.Header, codings []string) error {
	if length := h.Get("Content-Length"); length != "" && length != "0" || len(codings) > 0 {
		return &InterimBodyError{Status: status}
	}
	return nil
}
