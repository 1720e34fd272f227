// Package loadbalancer chooses the upstream of each call.
//
// A Balancer holds the state that one VM has about the upstreams of one
// service: its own sends in flight, the load reports and their age, failures,
// and the state of each upstream as defined by the state chart upstream.ini. It
// takes the time and the random source as arguments, does no I/O and starts no
// goroutine:
//
//	b := loadbalancer.New(loadbalancer.Options{Zone: "fukuoka"}, random)
//	b.SetUpstreams(now, upstreams)
//	choice, ok := b.Pick(now, loadbalancer.Request{})
//	b.Sent(now, choice)
//	b.Done(now.Add(latency), choice, result)
//
// Pick chooses by expected cost, for a call that is sent at once. Place also
// takes the objective and the deadline of the call into account and may tell the
// caller to wait or to refuse the call.
package loadbalancer
