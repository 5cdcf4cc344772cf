package node_test

import (
	"fmt"
	"time"

	"cottonarch.example/cottonarch/control/coordination/lock"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/core/node"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/kernel/monotime"
	"cottonarch.example/cottonarch/storage/ring"
)

// Example embeds three cores in one process, each on a ring in memory, and takes a
// lock at one of them. A program with sockets and real disks does the same: it hands
// messages and ticks in, syncs Records before what Gate holds back, and sends.
func Example() {
	addrs := []ident.Addr{"a:1", "b:1", "c:1"}
	nodes, rings := map[ident.Addr]*node.Node{}, map[ident.Addr]*ring.Ring{}
	for _, a := range addrs {
		disk, err := ring.Open(ring.NewMem(), ring.Boot{Files: 4, Size: 64 << 10})
		if err != nil {
			panic(err)
		}
		n, first, err := node.New(1, node.Boot{Addr: a, Founders: addrs, Mark: "run1", NewDisk: func() ident.Disk { return ident.Disk("disk-" + a) }}, disk.Records())
		if err != nil {
			panic(err)
		}
		if disk.Append(first) != nil || disk.Sync() != nil {
			panic("disk")
		}
		nodes[a], rings[a] = n, disk
	}
	now := monotime.Time(time.Second)
	var ends []node.End
	var post []func() (ident.Addr, node.Effects)
	out := func(at ident.Addr, fx node.Effects) {
		if rings[at].Append(fx.Records) != nil || rings[at].Sync() != nil {
			panic("disk")
		}
		ends = append(ends, fx.Ends...)
		for _, s := range fx.Sends {
			s.Msg.From = at
			post = append(post, func() (ident.Addr, node.Effects) { return s.To, nodes[s.To].Step(now, s.Msg) })
		}
	}
	run := func(d time.Duration) {
		for end := now.Add(d); now < end; now = now.Add(20 * time.Millisecond) {
			for _, a := range addrs {
				out(a, nodes[a].Tick(now))
			}
			for len(post) > 0 {
				do := post[0]
				post = post[1:]
				out(do())
			}
		}
	}
	run(2 * time.Second)
	fmt.Println("membership epoch", nodes["a:1"].Membership().Epoch, "votes", nodes["a:1"].Votes())
	out("b:1", nodes["b:1"].Submit(now, 7, proposer.Operation{Key: "lock/mine", Kind: "lock/claim", Args: operation.Encode(lock.Args{Holder: "me", TTL: 5000})}, time.Second))
	run(time.Second)
	for _, e := range ends {
		if e.Ticket == 7 {
			fmt.Println(string(e.Body))
		}
	}
	// Output:
	// membership epoch 1 votes true
	// {"holder":"me","fence":1,"ttlMs":5000,"held":true}
}
