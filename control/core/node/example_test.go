package node_test

import (
	"fmt"
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/coordination/lock"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/core/node"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/storage/ring"
)

// Example runs three cores in one process, each with an in-memory ring, and acquires a lock at one
// of the cores. A program with sockets and real disks works the same way: it passes in messages and
// ticks, syncs the Records that SplitDurable returns before it sends the messages that SplitDurable
// returns, and sends the other messages immediately.
func Example() {
	addrs := []ident.Addr{"a:1", "b:1", "c:1"}
	nodes, rings := map[ident.Addr]*node.Node{}, map[ident.Addr]*ring.Ring{}
	for _, a := range addrs {
		disk, err := ring.Open(ring.NewMemoryFolder(), ring.Options{FileCount: 4, FileSize: 64 << 10})
		if err != nil {
			panic(err)
		}
		newDisk := func() ident.Disk { return ident.Disk("disk-" + a) }
		config := node.Config{Addr: a, Founders: addrs, InstanceID: "run1", NewDiskID: newDisk}
		n, created, err := node.New(1, config, disk.Records())
		if err != nil {
			panic(err)
		}
		if disk.Append(created) != nil || disk.Sync() != nil {
			panic("disk")
		}
		nodes[a], rings[a] = n, disk
	}
	now := monotime.Time(time.Second)
	var results []node.Result
	var mailbox []func() (ident.Addr, node.Effects)
	apply := func(from ident.Addr, fx node.Effects) {
		if rings[from].Append(fx.Records) != nil || rings[from].Sync() != nil {
			panic("disk")
		}
		results = append(results, fx.Results...)
		for _, s := range fx.Sends {
			s.Msg.From = from
			mailbox = append(mailbox, func() (ident.Addr, node.Effects) { return s.To, nodes[s.To].Step(now, s.Msg) })
		}
	}
	advance := func(d time.Duration) {
		for end := now.Add(d); now < end; now = now.Add(20 * time.Millisecond) {
			for _, a := range addrs {
				apply(a, nodes[a].Tick(now))
			}
			for len(mailbox) > 0 {
				deliver := mailbox[0]
				mailbox = mailbox[1:]
				apply(deliver())
			}
		}
	}
	advance(2 * time.Second)
	fmt.Println("membership epoch", nodes["a:1"].Membership().Epoch, "votes", nodes["a:1"].IsVoter())
	acquire := proposer.Operation{Key: "lock/mine", Kind: "lock/claim", Args: operation.Encode(lock.Args{Holder: "me", TTL: 5000})}
	apply("b:1", nodes["b:1"].Submit(now, 7, acquire, time.Second))
	advance(time.Second)
	for _, e := range results {
		if e.Ticket == 7 {
			fmt.Println(string(e.Body))
		}
	}
	// Output:
	// membership epoch 1 votes true
	// {"holder":"me","fence":1,"ttlMs":5000,"held":true}
}
