package main_test

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// client is the behaviour of one abusive client on a connection. It ends when a write fails or it has sent what it sends.
type client func(i int, w io.Writer) error

var filler = bytes.Repeat([]byte("x"), 64<<10)

// writeMuch writes n bytes in pieces of the given size.
func writeMuch(w io.Writer, n, piece int) error {
	for n > 0 {
		k := min(n, piece, len(filler))
		if _, err := w.Write(filler[:k]); err != nil {
			return err
		}
		n -= k
	}
	return nil
}

// repeatText writes text again and again, n times.
func repeatText(w io.Writer, text string, n int) error {
	for range n {
		if _, err := io.WriteString(w, text); err != nil {
			return err
		}
	}
	return nil
}

// headStart returns the start of a head to which headers can be added.
func headStart(method string) string {
	return method + " /p/1 HTTP/1.1\r\nHost: " + entryHost + "\r\n"
}

// largeHead sends a head of many headers that is longer than each limit.
func largeHead(_ int, w io.Writer) error {
	if _, err := io.WriteString(w, headStart("GET")); err != nil {
		return err
	}
	line := "X-Filler: " + strings.Repeat("x", 1000) + "\r\n"
	if err := repeatText(w, line, 200); err != nil {
		return err
	}
	_, err := io.WriteString(w, "\r\n")
	return err
}

// endlessHead sends a head that never ends: half of the clients send one header without end, the others stop just short
// of the limits that the code had before, and stay open.
func endlessHead(i int, w io.Writer) error {
	if _, err := io.WriteString(w, headStart("GET")+"X-Filler: "); err != nil {
		return err
	}
	if i%2 == 0 {
		return writeMuch(w, endlessBytes, 8<<10)
	}
	return writeMuch(w, 60<<10, 8<<10)
}

// emptyLines sends empty lines without end before a request. Most clients leave out the line feeds, so that the first line does
// not end, stop just short of the limit that the code had before, and stay open.
func emptyLines(i int, w io.Writer) error {
	if i%8 == 0 {
		return repeatText(w, strings.Repeat("\r\n", 512), endlessBytes/1024)
	}
	return repeatText(w, strings.Repeat("\r", 1024), 60)
}

// wholeBody sends a body of the largest legal size at once. Most stop just short of its end.
func wholeBody(i int, w io.Writer) error {
	return plainBody(i, w, crowdBodyBytes)
}

// pieceBody is wholeBody in pieces.
func pieceBody(i int, w io.Writer) error {
	return plainBody(i, w, 4<<10)
}

func plainBody(i int, w io.Writer, piece int) error {
	if _, err := fmt.Fprintf(w, "%sContent-Length: %d\r\n\r\n", headStart("POST"), crowdBodyBytes); err != nil {
		return err
	}
	n := crowdBodyBytes
	if i%crowdWhole != 0 {
		n -= bodyRest
	}
	return writeMuch(w, n, piece)
}

// largeChunks sends a chunked body in few chunks.
func largeChunks(i int, w io.Writer) error {
	return chunkedBody(i, w, 32<<10, crowdBodyBytes)
}

// smallChunks sends a chunked body in chunks of one byte.
func smallChunks(i int, w io.Writer) error {
	return chunkedBody(i, w, 1, crowdBodyBytes)
}

func chunkedBody(i int, w io.Writer, chunk, size int) error {
	if _, err := io.WriteString(w, headStart("POST")+"Transfer-Encoding: chunked\r\n\r\n"); err != nil {
		return err
	}
	text := fmt.Sprintf("%x\r\n%s\r\n", chunk, strings.Repeat("x", chunk))
	// Small chunks are sent many at once: a write for each would take the time of the test.
	each := max(1, 4096/chunk)
	text = strings.Repeat(text, each)
	if err := repeatText(w, text, (size-bodyRest)/chunk/each); err != nil {
		return err
	}
	if i%crowdWhole != 0 {
		return nil
	}
	_, err := io.WriteString(w, "0\r\n\r\n")
	return err
}

// silent opens a connection and sends nothing.
func silent(int, io.Writer) error { return nil }

// manyHeaders sends a head of the largest legal size that consists of headers of a few bytes, and stops just short of its end. Every
// other client sends the whole head and keeps back its body.
func manyHeaders(i int, w io.Writer) error {
	var head strings.Builder
	head.WriteString(headStart("POST") + "Content-Length: 10\r\n")
	for n := 0; head.Len() < abuseHeadBytes-10; n++ {
		head.WriteString(strconv.FormatInt(int64(n+36), 36) + ":\r\n")
	}
	if i%2 == 0 {
		head.WriteString("\r\n")
	}
	_, err := io.WriteString(w, head.String())
	return err
}

// endlessExtensions sends a chunked body whose chunks have long extensions and one byte each.
func endlessExtensions(_ int, w io.Writer) error {
	if _, err := io.WriteString(w, headStart("POST")+"Transfer-Encoding: chunked\r\n\r\n"); err != nil {
		return err
	}
	return repeatText(w, "1;"+strings.Repeat("x", 4000)+"\r\nx\r\n", endlessBytes/4096)
}

// endlessTrailer sends a chunked body whose trailer never ends. Every other client stops within the trailer.
func endlessTrailer(i int, w io.Writer) error {
	if _, err := io.WriteString(w, headStart("POST")+"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n"); err != nil {
		return err
	}
	if i%2 == 0 {
		return repeatText(w, "X-Filler: x\r\n", 100)
	}
	return repeatText(w, strings.Repeat("X-Filler: x\r\n", 100), endlessBytes/1300)
}

// expectation announces a body and waits with it for an interim answer that it does not use.
func expectation(_ int, w io.Writer) error {
	_, err := fmt.Fprintf(w, "%sContent-Length: %d\r\nExpect: 100-continue\r\n\r\n", headStart("POST"), crowdBodyBytes)
	return err
}

// halfClosed sends requests and closes its sending side. It does not read the answers.
func halfClosed(_ int, w io.Writer) error {
	if err := repeatText(w, headStart("GET")+"\r\n", unreadRequests); err != nil {
		return err
	}
	return stay(w, func(c *net.TCPConn) error { return c.CloseWrite() })
}

// refusedEarly sends a request that is refused by its head, and keeps back its body.
func refusedEarly(_ int, w io.Writer) error {
	_, err := fmt.Fprintf(w, "POST /none/ HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n\r\n", entryHost, crowdBodyBytes)
	return err
}

// unreadAnswers sends requests whose answers it does not read, and stays open.
func unreadAnswers(_ int, w io.Writer) error {
	return stay(w, func(c *net.TCPConn) error {
		return repeatText(c, headStart("GET")+"\r\n", unreadRequests)
	})
}

// unreadLargeAnswers sends requests for answers of maxAnswerBytes, which it does not read, and stays open.
func unreadLargeAnswers(_ int, w io.Writer) error {
	return stay(w, func(c *net.TCPConn) error {
		return repeatText(c, "GET "+largePath+" HTTP/1.1\r\nHost: "+entryHost+"\r\n\r\n", unreadRequests)
	})
}

// endlessRequests sends requests without end, ahead of the answers, which it does not read.
func endlessRequests(_ int, w io.Writer) error {
	return repeatText(w, strings.Repeat(headStart("GET")+"\r\n", 50), endlessBytes/4096)
}

// unreadMetrics asks for the metrics again and again, compressed if the daemon can, and does not read them.
func unreadMetrics(_ int, w io.Writer) error {
	return repeatText(w, "GET /metrics HTTP/1.1\r\nHost: x\r\nAccept-Encoding: zstd, gzip\r\n\r\n", endlessBytes/100)
}

// fullFrames sends frames of the protocol between daemons that open one stream after the other (kind invoke, message 1), with
// calls that do not exist, and does not read the answers.
func fullFrames(_ int, w io.Writer) error {
	for stream := byte(1); stream < 100; stream++ {
		name := "/cornelwood.Peer/" + strings.Repeat("x", 4000)
		frame := append([]byte{1<<1 | 1, stream, 1, 0x80 | byte(len(name)&0x7f), byte(len(name) >> 7)}, name...)
		if _, err := w.Write(frame); err != nil {
			return err
		}
	}
	return stay(w, func(*net.TCPConn) error { return nil })
}

// errStay ends a client's part after its connection has been left open and unread.
var errStay = errors.New("connection is left unread")

// stay runs the rest of a client that does not read from its connection. The client stays until the crowd ends, or until the daemon
// closes the connection: then it comes back.
func stay(w io.Writer, rest func(*net.TCPConn) error) error {
	c, ok := w.(*net.TCPConn)
	if !ok {
		return errStay
	}
	if err := rest(c); err != nil {
		return err
	}
	for isOpen(c) {
		time.Sleep(crowdPause)
	}
	return errStay
}

// isOpen reports whether neither this end has closed a connection nor the other end its sending side.
func isOpen(c *net.TCPConn) bool {
	const closeWait, closed, timeWait = 8, 7, 6
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	state := uint8(closed)
	err = raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			state = info.State
		}
	})
	return err == nil && state != closeWait && state != closed && state != timeWait
}

// endlessMessage sends a message of the protocol between daemons that never ends: a frame (kind message, stream 1, message
// 1) that is longer than the daemon accepts.
func endlessMessage(_ int, w io.Writer) error {
	if _, err := w.Write([]byte{2 << 1, 1, 1, 0x80, 0x80, 0x80, 0x08}); err != nil {
		return err
	}
	// It stops just short of the longest message that the daemon accepts.
	return writeMuch(w, 2_500_000, 16<<10)
}
