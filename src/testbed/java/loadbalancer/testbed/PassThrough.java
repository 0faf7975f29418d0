package loadbalancer.testbed;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import loadbalancer.proxy.Addresses;

/**
 * The simplest proxy between clients and servers on the same library: complete messages, servers in rotation,
 * idle connections kept open; no policy and no rules. The cost of a balancer is measured against it. On one
 * thread.
 */
public final class PassThrough {
    private static final int MAX_BODY_BYTES = 1 << 17;

    private final EventLoop loop;
    private final List<InetSocketAddress> servers;
    private final List<ArrayDeque<ServerConnection>> idle = new ArrayList<>();
    private int next;

    private PassThrough(EventLoop loop, List<InetSocketAddress> servers) {
        this.loop = loop;
        this.servers = servers;
        servers.forEach(b -> idle.add(new ArrayDeque<>()));
    }

    /** Listens on a free port, passes on to the addresses in {@code args}, and ends with the process. */
    @SuppressWarnings("AddressSelection") // a literal address: nothing is looked up
    public static void main(String[] args) throws InterruptedException {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        PassThrough self = new PassThrough(
                group.next(), List.of(args).stream().map(Addresses::parse).toList());
        Channel listener = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, 1024)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(
                                        new HttpServerCodec(),
                                        new HttpObjectAggregator(MAX_BODY_BYTES),
                                        self.new ClientConnection());
                    }
                })
                .bind(new InetSocketAddress("127.0.0.1", 0))
                .sync()
                .channel();
        System.err.println("event=listening address=" + Addresses.text((InetSocketAddress) listener.localAddress()));
        listener.closeFuture().sync();
    }

    private final class ClientConnection extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            if (request.uri().equals("/-/ready")) {
                var ready = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
                ready.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
                context.writeAndFlush(ready);
                return;
            }
            int server = next++ % servers.size();
            ServerConnection connection = idle.get(server).pollLast();
            if (connection != null && connection.channel.isActive()) {
                connection.forward(request.retain(), context.channel());
            } else {
                dial(server, request.retain(), context.channel());
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }

    private void dial(int number, FullHttpRequest request, Channel client) {
        ServerConnection server = new ServerConnection(number);
        new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(new HttpClientCodec(), new HttpObjectAggregator(MAX_BODY_BYTES), server);
                    }
                })
                .connect(servers.get(number))
                .addListener((io.netty.channel.ChannelFuture done) -> {
                    if (done.isSuccess()) {
                        server.channel = done.channel();
                        server.forward(request, client);
                    } else {
                        request.release();
                        client.close();
                    }
                });
    }

    private final class ServerConnection extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final int number;
        private Channel channel;
        private Channel client;

        ServerConnection(int number) {
            this.number = number;
        }

        void forward(FullHttpRequest request, Channel from) {
            client = from;
            channel.writeAndFlush(request);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
            client.writeAndFlush(response.retain());
            client = null;
            idle.get(number).addLast(this);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            idle.get(number).remove(this);
            if (client != null) {
                client.close();
            }
        }
    }
}
