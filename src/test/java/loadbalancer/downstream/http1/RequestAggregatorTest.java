package loadbalancer.downstream.http1;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import loadbalancer.proxy.BodyMemoryBudget;
import loadbalancer.proxy.BodyStream;
import org.junit.jupiter.api.Test;

class RequestAggregatorTest {
    private static final int MOST = 100_000;

    private final BodyMemoryBudget early = new BodyMemoryBudget(MOST);
    private BodyStream rest;
    private int passed;

    private EmbeddedChannel waiting(int bytes) {
        EmbeddedChannel channel = new EmbeddedChannel(new RequestAggregator(
                new RequestAggregator.Taker() {
                    @Override
                    public void begun(HttpRequest head) {}

                    @Override
                    public void whole(HttpRequest head, byte[] body) {}

                    @Override
                    public void flowing(HttpRequest head, byte[] first, BodyStream following, long length) {
                        rest = following;
                    }

                    @Override
                    public void bad(HttpResponseStatus status, String why) {}

                    @Override
                    public void cut(HttpResponseStatus status, String why) {}
                },
                new BodyMemoryBudget(MOST),
                early));
        HttpRequest head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/api/k");
        head.headers().set("Content-Length", 1_000_000);
        channel.writeInbound(head);
        more(channel, bytes);
        return channel;
    }

    private static void more(EmbeddedChannel channel, int bytes) {
        channel.writeInbound(new DefaultHttpContent(Unpooled.wrappedBuffer(new byte[bytes])));
    }

    @Test
    void aLongBodyThatWaitsIsReadOnWithinTheRoomOfAll() {
        EmbeddedChannel first = waiting(60_000);
        assertTrue(first.config().isAutoRead(), "its end has to be seen");
        EmbeddedChannel second = waiting(60_000);
        assertFalse(second.config().isAutoRead(), "no room for as much");
        first.pipeline().get(RequestAggregator.class).drop();
        assertTrue(early.tryReserve(MOST), "all is given back");
        assertFalse(early.tryReserve(1));
    }

    @Test
    void whatWasHeldIsGivenBackOnceWhenItIsTakenOrDropped() {
        EmbeddedChannel channel = waiting(60_000);
        rest.subscribe(new BodyStream.Taker() {
            @Override
            public void onData(byte[] bytes) {
                passed += bytes.length;
            }

            @Override
            public void onComplete() {}

            @Override
            public void onError() {}
        });
        assertEquals(60_000, passed);
        more(channel, 90_000);
        assertEquals(150_000, passed, "what follows is not held");
        channel.pipeline().get(RequestAggregator.class).drop();
        waiting(60_000);
        rest.cancel();
        rest.cancel();
        assertTrue(early.tryReserve(MOST));
        assertFalse(early.tryReserve(1), "not more than was held");
    }
}
