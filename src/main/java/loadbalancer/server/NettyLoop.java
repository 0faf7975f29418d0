package loadbalancer.server;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import loadbalancer.eventloop.SocketsFirst;
import loadbalancer.proxy.Loop;

/** The real event loop, as the core sees it. */
record NettyLoop(EventLoop loop) implements Loop {
    @Override
    public void soon(Runnable task) {
        loop.execute(task);
    }

    @Override
    public Timer after(long delay, Runnable task) {
        return SocketsFirst.after(loop, delay, TimeUnit.MICROSECONDS, task)::cancel;
    }
}
