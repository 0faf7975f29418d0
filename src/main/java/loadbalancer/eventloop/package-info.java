/** Event loop scheduling: timers rounded up to whole milliseconds, and timers that run after a read of the sockets. */
package loadbalancer.eventloop;
