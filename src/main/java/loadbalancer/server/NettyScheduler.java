package loadbalancer.server;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import loadbalancer.eventloop.ReadBeforeTimers;
import loadbalancer.proxy.Scheduler;

/** The real event loop, as the core sees it. */
record NettyScheduler(EventLoop loop) implements Scheduler {
    @Override
    public void execute(Runnable task) {
        loop.execute(task);
    }

    @Override
    public Timer schedule(long delay, Runnable task) {
        return ReadBeforeTimers.after(loop, delay, TimeUnit.MICROSECONDS, task)::cancel;
    }
}
