package ticketer

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// macBytes is the length of the keyed hash in a ticket, which is truncated to it.
const macBytes = 12

// ticket is a parsed ticket. Its text is "instance:incarnation:number:issued:mac", with the numbers in base 36, issued
// in milliseconds and mac in hexadecimal.
type ticket struct {
	instance    string
	incarnation uint64
	number      uint64
	// issued is the time of issue, counted from the issuer's start.
	issued time.Duration
	mac    string
}

// parseTicket parses a ticket's text. It does not check the hash.
func parseTicket(text string) (ticket, error) {
	parts := strings.Split(text, ":")
	if len(parts) != 5 {
		return ticket{}, fmt.Errorf("want five parts, got %d", len(parts))
	}
	incarnation, err := strconv.ParseUint(parts[1], 36, 64)
	if err != nil {
		return ticket{}, fmt.Errorf("incarnation %q is not a number", parts[1])
	}
	number, err := strconv.ParseUint(parts[2], 36, 64)
	if err != nil {
		return ticket{}, fmt.Errorf("number %q is not a number", parts[2])
	}
	issued, err := strconv.ParseInt(parts[3], 36, 64)
	if err != nil || issued < 0 {
		return ticket{}, fmt.Errorf("time of issue %q is not a number of 0 or more", parts[3])
	}
	return ticket{
		instance:    parts[0],
		incarnation: incarnation,
		number:      number,
		issued:      time.Duration(issued) * time.Millisecond,
		mac:         parts[4],
	}, nil
}

// body returns the ticket's text without the hash.
func (t *ticket) body() string {
	return strings.Join([]string{
		t.instance,
		strconv.FormatUint(t.incarnation, 36),
		strconv.FormatUint(t.number, 36),
		strconv.FormatInt(t.issued.Milliseconds(), 36),
	}, ":")
}

// String returns the ticket's text.
func (t *ticket) String() string {
	return t.body() + ":" + t.mac
}

// sign sets the hash, which also covers the service.
func (t *ticket) sign(key []byte, service string) {
	t.mac = t.hash(key, service)
}

// isSigned reports whether the ticket's hash is the one of key and service.
func (t *ticket) isSigned(key []byte, service string) bool {
	return hmac.Equal([]byte(t.mac), []byte(t.hash(key, service)))
}

func (t *ticket) hash(key []byte, service string) string {
	m := hmac.New(sha256.New, key)
	m.Write([]byte(t.body() + ":" + service))
	return hex.EncodeToString(m.Sum(nil)[:macBytes])
}
