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
 * The least that can stand between clients and boxes on the same library: whole messages, the next box in
 * turn,
 * kept connections; no table, no module, no rules. What a balancer costs is measured against it. One thread.
 */
public final class PassThrough {
    private static final int MOST = 1 << 17;

    private final EventLoop loop;
    private final List<InetSocketAddress> boxes;
    private final List<ArrayDeque<Box>> idle = new ArrayList<>();
    private int next;

    private PassThrough(EventLoop loop, List<InetSocketAddress> boxes) {
        this.loop = loop;
        this.boxes = boxes;
        boxes.forEach(b -> idle.add(new ArrayDeque<>()));
    }

    /** Listens on a free port, passes on to the addresses in {@code args}, and ends with the process. */
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
                                .addLast(new HttpServerCodec(), new HttpObjectAggregator(MOST), self.new Client());
                    }
                })
                .bind(new InetSocketAddress("127.0.0.1", 0))
                .sync()
                .channel();
        System.err.println("listening on " + Addresses.text((InetSocketAddress) listener.localAddress()));
        listener.closeFuture().sync();
    }

    private final class Client extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            if (request.uri().equals("/-/ready")) {
                var ready = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
                ready.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
                context.writeAndFlush(ready);
                return;
            }
            int box = next++ % boxes.size();
            Box connection = idle.get(box).pollLast();
            if (connection != null && connection.channel.isActive()) {
                connection.pass(request.retain(), context.channel());
            } else {
                dial(box, request.retain(), context.channel());
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }

    private void dial(int number, FullHttpRequest request, Channel client) {
        Box box = new Box(number);
        new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new HttpClientCodec(), new HttpObjectAggregator(MOST), box);
                    }
                })
                .connect(boxes.get(number))
                .addListener((io.netty.channel.ChannelFuture done) -> {
                    if (done.isSuccess()) {
                        box.channel = done.channel();
                        box.pass(request, client);
                    } else {
                        request.release();
                        client.close();
                    }
                });
    }

    private final class Box extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final int number;
        private Channel channel;
        private Channel client;

        Box(int number) {
            this.number = number;
        }

        void pass(FullHttpRequest request, Channel from) {
            client = from;
            channel.writeAndFlush(request);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse answer) {
            client.writeAndFlush(answer.retain());
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
