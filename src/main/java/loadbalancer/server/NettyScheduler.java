package loadbalancer.server;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import loadbalancer.eventloop.ReadBeforeTimers;
import loadbalancer.proxy.Scheduler;

/** Netty's event loop as the scheduler of {@code proxy}; delays in µs. */
record NettyScheduler(EventLoop loop) implements Scheduler {
    @Override
    public void execute(Runnable task) {
        loop.execute(task);
    }

    @Override
    public Timer schedule(long delay, Runnable task) {
        return ReadBeforeTimers.schedule(loop, delay, TimeUnit.MICROSECONDS, task)::cancel;
    }
}
