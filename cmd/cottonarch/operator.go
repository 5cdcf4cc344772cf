package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/control/audit/tree"
)

type operatorCmds struct {
	Apply   applyCmd   `cmd:"" help:"Send a manifest, whole or partial, to a core."`
	Show    showCmd    `cmd:"" help:"Show the newest confirmed manifest (core) or the one in force (sidecar)."`
	Status  statusCmd  `cmd:"" help:"Show a daemon's status and counters."`
	Rollout rolloutCmd `cmd:"" help:"Roll a way out to another service by steps, or put it back."`
	Audit   auditCmd   `cmd:"" help:"Fetch the audit log of manifests and check it."`
	Lock    lockCmd    `cmd:"" help:"Claim, renew, release or read a lock."`
	Number  numberCmd  `cmd:"" help:"Take the next of a rising number, or read it."`
	Key     keyCmd     `cmd:"" help:"Read, write, delete or list small keys."`
	Watch   watchCmd   `cmd:"" help:"Follow changes below a prefix."`
}

type coreTarget struct {
	Core string `short:"c" required:"" env:"COTTONARCH_CORE" help:"Address of any core (or of a sidecar, where that fits), ip:port."`
}

// request sends one request and prints the return; a failure ends the program with 1.
func (t coreTarget) request(method, path string, body []byte) (json.RawMessage, error) {
	httpRequest, err := http.NewRequest(method, "http://"+t.Core+path, bytes.NewReader(body))
	if err != nil {
		return nil, failure.Wrap(err, failure.Malformed, "request")
	}
	response, err := (&http.Client{Timeout: 70 * time.Second}).Do(httpRequest)
	if err != nil {
		return nil, failure.Wrap(err, failure.Unreachable, t.Core)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, failure.Wrap(err, failure.LostResponse, t.Core)
	}
	if response.StatusCode >= 300 {
		fail := &failure.Error{}
		if json.Unmarshal(data, fail) != nil || fail.Kind == "" {
			return nil, failure.NewUnknown(failure.BadResponse, "status %d: %s", response.StatusCode, data)
		}
		fail.Note = fmt.Sprintf("%s (changed: %s)", fail.Note, fail.Outcome)
		return nil, fail
	}
	return data, nil
}

func (t coreTarget) print(method, path string, body []byte) error {
	data, err := t.request(method, path, body)
	if err != nil {
		return err
	}
	var indented bytes.Buffer
	if json.Indent(&indented, data, "", "  ") != nil {
		indented.Write(data)
	}
	fmt.Println(indented.String())
	return nil
}

type applyCmd struct {
	coreTarget
	Part bool   `help:"The file is a part, laid over the newest manifest; null takes a field away."`
	Base *int64 `help:"Epoch the change builds on; another epoch is a conflict."`
	File string `arg:"" help:"Manifest file, - for standard input."`
}

func (c applyCmd) Run() error {
	var raw []byte
	var err error
	if c.File == "-" {
		raw, err = io.ReadAll(os.Stdin)
	} else {
		raw, err = os.ReadFile(c.File)
	}
	if err != nil {
		return failure.Wrap(err, failure.Malformed, "manifest")
	}
	query := ""
	if c.Base != nil {
		query = fmt.Sprintf("?baseEpoch=%d", *c.Base)
	}
	method := "PUT"
	if c.Part {
		method = "PATCH"
	}
	return c.print(method, "/manifest"+query, raw)
}

type showCmd struct{ coreTarget }

func (c showCmd) Run() error { return c.print("GET", "/manifest", nil) }

type statusCmd struct{ coreTarget }

func (c statusCmd) Run() error {
	if err := c.print("GET", "/status", nil); err != nil {
		return err
	}
	return c.print("GET", "/counters", nil)
}

type rolloutCmd struct {
	coreTarget
	Deed  string  `arg:"" enum:"begin,read,back" help:"begin, read or back."`
	Way   string  `arg:"" help:"Name of the way."`
	To    string  `help:"Service that the way is to go to."`
	Steps []int   `help:"Hundredths of the way at each step, rising to 100 (5,25,50,100)."`
	StepS float64 `default:"10" help:"Seconds a step is watched for."`
	Most  float64 `default:"0.05" help:"Part of the calls that may end in a defect before the way is put back."`
}

func (c rolloutCmd) Run() error {
	raw, _ := json.Marshal(map[string]any{"to": c.To, "steps": c.Steps, "stepS": c.StepS, "mostDefects": c.Most})
	verbs := map[string]string{"begin": "POST", "read": "GET", "back": "DELETE"}
	return c.print(verbs[c.Deed], "/rollouts/"+c.Way, raw)
}

type auditCmd struct {
	coreTarget
	Old    string `help:"File with an older checkpoint that the log must continue." type:"existingfile"`
	Save   string `help:"File to keep the new checkpoint in." type:"path"`
	Leaves bool   `help:"Print the leaves too."`
}

func (c auditCmd) Run() error {
	data, err := c.request("GET", "/audit", nil)
	if err != nil {
		return err
	}
	var log tree.Log
	if err := json.Unmarshal(data, &log); err != nil {
		return failure.Wrap(err, failure.BadResponse, "audit")
	}
	oldCheckpoint := ""
	if c.Old != "" {
		raw, err := os.ReadFile(c.Old)
		if err != nil {
			return failure.Wrap(err, failure.Malformed, "old checkpoint")
		}
		oldCheckpoint = string(raw)
	}
	if err := tree.Verify(log, oldCheckpoint); err != nil {
		return err
	}
	if c.Save != "" {
		if err := os.WriteFile(c.Save, []byte(log.Checkpoint), 0o644); err != nil {
			return failure.Wrap(err, failure.Internal, "save")
		}
	}
	if c.Leaves {
		for _, leaf := range log.Leaves {
			fmt.Printf("%d %s\n", leaf.Revision, leaf.SHA256)
		}
	}
	fmt.Print(log.Checkpoint)
	return nil
}

type lockCmd struct {
	coreTarget
	Deed   string `arg:"" enum:"claim,renew,release,pass,read" help:"claim, renew, release, pass or read."`
	Name   string `arg:""`
	Holder string `help:"Who holds it."`
	Fence  uint64 `help:"Fence number of the claim."`
	TTL    int64  `default:"10000" help:"Milliseconds the claim lasts without renewal."`
	To     string `help:"Successor, for pass."`
}

func (c lockCmd) Run() error {
	if c.Deed == "read" {
		return c.print("GET", "/locks/"+c.Name, nil)
	}
	raw, _ := json.Marshal(map[string]any{"holder": c.Holder, "fence": c.Fence, "ttlMs": c.TTL, "to": c.To})
	return c.print("POST", "/locks/"+c.Name+"/"+c.Deed, raw)
}

type numberCmd struct {
	coreTarget
	Deed string `arg:"" enum:"next,read" help:"next or read."`
	Name string `arg:""`
}

func (c numberCmd) Run() error {
	if c.Deed == "read" {
		return c.print("GET", "/numbers/"+c.Name, nil)
	}
	return c.print("POST", "/numbers/"+c.Name+"/next", nil)
}

type keyCmd struct {
	coreTarget
	Deed  string `arg:"" enum:"read,write,delete,list" help:"read, write, delete or list."`
	Name  string `arg:"" optional:"" help:"Key, or prefix for list."`
	Value string `arg:"" optional:"" help:"Value for write; JSON, or else a string."`
	If    *int64 `help:"Revision the key must be at; 0 means it must not exist."`
}

func (c keyCmd) Run() error {
	query := url.Values{}
	if c.If != nil {
		query.Set("ifRevision", fmt.Sprint(*c.If))
	}
	verbs := map[string]string{"read": "GET", "write": "PUT", "delete": "DELETE"}
	if c.Deed == "list" {
		return c.print("GET", "/keys?prefix="+url.QueryEscape(c.Name), nil)
	}
	body := []byte(c.Value)
	if c.Deed == "write" && !json.Valid(body) {
		body, _ = json.Marshal(c.Value)
	}
	return c.print(verbs[c.Deed], "/keys/"+c.Name+"?"+query.Encode(), body)
}

type watchCmd struct {
	coreTarget
	Prefix string `arg:"" optional:"" help:"Prefix of the keys."`
	Place  string `help:"Place to go on from."`
	Rounds int    `default:"0" help:"How many returns to print; 0 is without end."`
}

func (c watchCmd) Run() error {
	place := c.Place
	for n := 0; c.Rounds == 0 || n < c.Rounds; n++ {
		data, err := c.request("GET", "/watch?prefix="+url.QueryEscape(c.Prefix)+"&place="+url.QueryEscape(place), nil)
		if err != nil {
			return err
		}
		var page struct {
			Place string `json:"place"`
		}
		if err := json.Unmarshal(data, &page); err != nil {
			return failure.Wrap(err, failure.BadResponse, "watch")
		}
		place = page.Place
		fmt.Println(strings.TrimSpace(string(data)))
	}
	return nil
}
