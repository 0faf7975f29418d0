package loadbalancer.discovery;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.MessageToMessageDecoder;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;

/** Passes on the body of a 200 response and then closes the connection; other responses close it immediately. */
final class ResponseBodyDecoder extends MessageToMessageDecoder<HttpObject> {
    @Override
    protected void decode(ChannelHandlerContext context, HttpObject part, List<Object> out) {
        if (part instanceof HttpResponse response && !isUsable(response)) {
            context.close();
            return;
        }
        if (part instanceof HttpContent content && context.channel().isActive()) {
            if (content.content().isReadable()) {
                out.add(content.content().retain());
            }
            if (part instanceof LastHttpContent) {
                // Deferred until the last content has been decoded. A list that is still incomplete then is dropped.
                context.channel().eventLoop().execute(context::close);
            }
        }
    }

    private static boolean isUsable(HttpResponse response) {
        return response.status().code() == HttpResponseStatus.OK.code()
                && response.decoderResult().isSuccess();
    }
}
