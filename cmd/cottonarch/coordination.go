package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strings"

	"cottonarch.example/cottonarch/base/failure"
)

// The actions on locks that have deprecated names.
const (
	actionAcquire  = "acquire"
	actionTransfer = "transfer"
)

// lockCmd changes or reads a lock.
type lockCmd struct {
	target
	Action string `arg:"" enum:"acquire,renew,release,transfer,read,claim,pass" help:"acquire, renew, release, transfer or read."`
	Name   string `arg:""`
	Holder string `help:"Name of the lock's holder."`
	Fence  uint64 `help:"Fencing token of the lock."`
	TTL    int64  `default:"10000" help:"Milliseconds that the lock lasts without renewal."`
	To     string `help:"Next holder, for transfer."`
}

// lockRequest is the body of a request that changes a lock.
type lockRequest struct {
	FencingToken uint64 `json:"fence"`
	Holder       string `json:"holder"`
	To           string `json:"to"`
	TTL          int64  `json:"ttlMs"`
}

// Run changes or reads the lock, and prints the state of the lock.
func (c lockCmd) Run() error {
	path := "/locks/" + c.Name
	switch action := currentAction(c.Action); action {
	case "read":
		return c.print(http.MethodGet, path, nil)
	case actionAcquire:
		path += "/claim"
	case actionTransfer:
		path += "/pass"
	default:
		path += "/" + action
	}
	return c.printJSON(http.MethodPost, path, lockRequest{c.Fence, c.Holder, c.To, c.TTL})
}

// numberCmd takes or reads a number of a sequence.
type numberCmd struct {
	target
	Action string `arg:"" enum:"next,read" help:"next or read."`
	Name   string `arg:""`
}

// Run takes the next number or reads the last number, and prints the response.
func (c numberCmd) Run() error {
	if c.Action == "read" {
		return c.print(http.MethodGet, "/numbers/"+c.Name, nil)
	}
	return c.print(http.MethodPost, "/numbers/"+c.Name+"/next", nil)
}

// keyCmd reads, writes, deletes or lists keys.
type keyCmd struct {
	target
	Action     string `arg:"" enum:"read,write,delete,list" help:"read, write, delete or list."`
	Name       string `arg:"" optional:"" help:"Key, or prefix for list."`
	Value      string `arg:"" optional:"" help:"Value for write; JSON, or else a string."`
	IfRevision *int64 `name:"if" help:"Revision that the key must have; 0 means that the key must not exist."`
}

// Run reads, writes, deletes or lists keys, and prints the response.
func (c keyCmd) Run() error {
	if c.Action == "list" {
		return c.print(http.MethodGet, "/keys?prefix="+url.QueryEscape(c.Name), nil)
	}
	query := url.Values{}
	if c.IfRevision != nil {
		query.Set("ifRevision", fmt.Sprint(*c.IfRevision))
	}
	body := []byte(c.Value)
	if c.Action == "write" && !json.Valid(body) {
		body, _ = json.Marshal(c.Value)
	}
	methods := map[string]string{"read": http.MethodGet, "write": http.MethodPut, "delete": http.MethodDelete}
	return c.print(methods[c.Action], "/keys/"+c.Name+"?"+query.Encode(), body)
}

// watchCmd follows the changes of keys with a prefix.
type watchCmd struct {
	target
	Prefix   string `arg:"" optional:"" help:"Prefix of the keys."`
	Position string `aliases:"place" help:"Position in the changes to continue from."`
	Count    int    `aliases:"rounds" default:"0" help:"How many responses to print; 0 sets no limit."`
}

// Run prints the changes as they arrive, each response on a line of its own.
func (c watchCmd) Run() error {
	position := c.Position
	for n := 0; c.Count == 0 || n < c.Count; n++ {
		path := "/watch?prefix=" + url.QueryEscape(c.Prefix) + "&place=" + url.QueryEscape(position)
		data, err := c.request(http.MethodGet, path, nil)
		if err != nil {
			return err
		}
		var changes struct {
			Position string `json:"place"`
		}
		if err := json.Unmarshal(data, &changes); err != nil {
			return failure.Wrap(err, failure.BadResponse, "can't decode the response of the watch")
		}
		position = changes.Position
		fmt.Println(strings.TrimSpace(string(data)))
	}
	return nil
}
