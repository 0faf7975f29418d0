package junctionhead.node;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import junctionhead.core.Loop;

/** The real event loop, as the core sees it. */
record NettyLoop(EventLoop loop) implements Loop {
    @Override
    public void soon(Runnable task) {
        loop.execute(task);
    }

    @Override
    public Timer after(long delay, Runnable task) {
        ScheduledFuture<?> future = loop.schedule(task, delay, TimeUnit.MICROSECONDS);
        return () -> future.cancel(false);
    }
}
