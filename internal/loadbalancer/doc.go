// Package loadbalancer decides which upstream a call is sent to.
//
// A Balancer keeps what one VM knows of the upstreams of one service: its own
// sends in flight, the load reports on answers and their age, errors, and the
// upstream's state along the chart upstream.ini. It takes the time and the
// random source as arguments, does no I/O and starts no goroutine:
//
//	b := loadbalancer.New(loadbalancer.Options{Zone: "fukuoka"}, random)
//	b.SetUpstreams(now, upstreams)
//	choice, ok := b.Pick(now, loadbalancer.Request{})
//	b.Sent(now, choice)
//	b.Done(now, choice, result)
package loadbalancer
