/** How the event loop schedules: a group with timers in whole milliseconds, and timers that run behind a read. */
package loadbalancer.eventloop;
