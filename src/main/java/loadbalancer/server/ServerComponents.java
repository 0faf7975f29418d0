package loadbalancer.server;

import io.netty.channel.EventLoop;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import loadbalancer.config.Config;
import loadbalancer.connections.ConnectionBudget;
import loadbalancer.downstream.http1.Http1Listener;
import loadbalancer.eventloop.MillisecondEventLoopGroup;
import loadbalancer.eventloop.TaskFailures;
import loadbalancer.lifecycle.LifeCycle;
import loadbalancer.policy.Policy;
import loadbalancer.proxy.Clock;
import loadbalancer.proxy.Dispatcher;
import loadbalancer.proxy.MessageMemory;
import loadbalancer.proxy.RequestLog;
import loadbalancer.upstream.http1.Http1ConnectionPool;

/** The parts of one balancer that its start, reload, hot restart and shutdown work on. */
final class ServerComponents {
    /** As the process was started; what has been reloaded since is {@link ConfigurationReload}'s. */
    final Config config;
    /** Takes a line of the log; never blocks. */
    final Consumer<String> log;

    /** Of tasks of the event loop; on the loop. */
    final TaskFailures taskFailures;

    final MillisecondEventLoopGroup group;
    final EventLoop loop;
    final LifeCycle lifeCycle = new LifeCycle(System.nanoTime());
    final ConnectionBudget budget;
    /** For messages in transit. */
    final MessageMemory memory;

    final Dispatcher dispatcher;
    final Http1ConnectionPool upstreams;
    final Http1Listener listener;
    /** Never null: {@link NoExtension} where HTTP/1.1 is all. */
    final ServerExtension.Part extension;

    /** {@code extension} may be null. */
    ServerComponents(
            Config config,
            BiFunction<Policy.Settings, Long, Policy> policyFactory,
            ServerExtension extension,
            MessageMemory memory,
            Consumer<String> log) {
        this.memory = memory;
        this.config = config;
        this.log = log;
        taskFailures = new TaskFailures(log);
        group = new MillisecondEventLoopGroup(taskFailures);
        loop = group.next();
        budget = new ConnectionBudget(config.connections(), System.nanoTime());
        Policy policy = policyFactory.apply(config.boot().settings(), config.seed());
        dispatcher = new Dispatcher(new NettyScheduler(loop), Clock.system(), config.boot(), policy, log);
        dispatcher.setRequestLog(RequestLog.of(System.getenv(), log));
        Http1ConnectionPool.Limits limits = new Http1ConnectionPool.Limits(budget, memory.budget());
        upstreams = new Http1ConnectionPool(loop, config.boot(), limits, dispatcher::now, dispatcher);
        listener = new Http1Listener(loop, config.boot(), dispatcher, budget, memory, lifeCycle, log);
        this.extension = create(extension);
    }

    private ServerExtension.Part create(ServerExtension extension) {
        if (extension == null) {
            return NoExtension.INSTANCE;
        }
        ServerExtension.Part part = extension.of(new ServerExtension.Lent(loop, config, dispatcher, memory, log));
        return part == null ? NoExtension.INSTANCE : part;
    }
}
