package exchange

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"sync"

	"cottonarch.example/cottonarch/base/failure"
)

// writing is a request as it goes out. Invariant: body is either empty, then head holds
// all, or the call's own bytes, which are not copied.
type writing struct {
	head []byte
	body []byte
}

var writes = sync.Pool{New: func() any { return &writing{head: make([]byte, 0, 2<<10)} }}

func (w *writing) done() {
	w.body = nil
	if cap(w.head) <= 4*oneWrite {
		writes.Put(w)
	}
}

// Hop tells whether a header, by its canonical name, belongs to one connection only.
func Hop(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
		"Transfer-Encoding", "Upgrade", "Expect", "Content-Length":
		return true
	}
	return false
}

// fill puts the target on the wire as it came.
func (w *writing) fill(call *Call) *failure.Error {
	if !token(call.Method) || !visible(call.Target) || !visible(call.Host) {
		return failure.New(failure.Malformed, "the method, target or host can't be sent")
	}
	b := w.head[:0]
	b = append(b, call.Method...)
	b = append(b, ' ')
	b = append(b, call.Target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, call.Host...)
	b = append(b, '\r', '\n')
	ok := true
	put := func(name, value string) {
		ok = ok && token(name) && text(value)
		b = append(b, name...)
		b = append(b, ':', ' ')
		b = append(b, value...)
		b = append(b, '\r', '\n')
	}
	if call.IdHeader != "" {
		put(call.IdHeader, call.Id)
	}
	for _, f := range call.Set {
		if f.Value != "" {
			put(f.Name, f.Value)
		}
	}
	named := call.Header["Connection"]
	for name, list := range call.Header {
		if Hop(textproto.CanonicalMIMEHeaderKey(name)) || alike(name, "Host") || call.sets(name) || named != nil && listed(named, name) {
			continue
		}
		for _, value := range list {
			put(name, value)
		}
	}
	if len(call.Body) > 0 || call.Method == http.MethodPost || call.Method == http.MethodPut || call.Method == http.MethodPatch {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(call.Body)), 10)
		b = append(b, '\r', '\n')
	}
	if call.Expect && len(call.Body) > oneWrite {
		b = append(b, "Expect: 100-continue\r\n"...)
	}
	if call.Fresh {
		b = append(b, "Connection: close\r\n"...)
	}
	b = append(b, '\r', '\n')
	w.body = nil
	if len(call.Body) <= oneWrite {
		b = append(b, call.Body...)
	} else {
		w.body = call.Body
	}
	w.head = b
	if !ok {
		return failure.New(failure.Malformed, "a header can't be sent")
	}
	return nil
}

// sets tells whether the call itself sets a header.
func (c *Call) sets(name string) bool {
	if c.IdHeader != "" && alike(c.IdHeader, name) {
		return true
	}
	for _, f := range c.Set {
		if alike(f.Name, name) {
			return true
		}
	}
	return false
}

func alike(a, b string) bool { return len(a) == len(b) && strings.EqualFold(a, b) }

// listed tells whether a name is among the comma-separated ones of some fields.
func listed(fields []string, name string) bool {
	for _, field := range fields {
		for one := range strings.SplitSeq(field, ",") {
			if alike(textproto.TrimString(one), name) {
				return true
			}
		}
	}
	return false
}

// names holds the bytes that a header name or a method may have.
var names = func() (t [256]bool) {
	for _, b := range []byte("!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ") {
		t[b] = true
	}
	return t
}()

func token(s string) bool {
	for n := range len(s) {
		if !names[s[n]] {
			return false
		}
	}
	return s != ""
}

// visible tells whether a text holds neither space nor control bytes.
func visible(s string) bool {
	for n := range len(s) {
		if s[n] <= ' ' || s[n] == 0x7f {
			return false
		}
	}
	return s != ""
}

// text tells whether a header's value holds no control bytes but tabs.
func text(s string) bool {
	for n := range len(s) {
		if s[n] < ' ' && s[n] != '\t' || s[n] == 0x7f {
			return false
		}
	}
	return true
}
