package loadbalancer.downstream.http1;

import io.netty.handler.codec.http.HttpRequest;
import java.util.Iterator;
import java.util.Map;

/** Estimates how much heap a decoded request head takes. */
final class RequestHeadSize {
    private static final int HEAD_BYTES = 512; // of the message, its headers and their table
    /** Bytes of heap that the entry of a field takes, with its name and value but without their characters. */
    static final int FIELD_BYTES = 144;

    private RequestHeadSize() {}

    /** Returns the bytes of heap that {@code head} takes: its characters, and the objects that hold them. */
    static int heapBytes(HttpRequest head) {
        int bytes = HEAD_BYTES + head.uri().length();
        Iterator<Map.Entry<CharSequence, CharSequence>> fields = head.headers().iteratorCharSequence();
        while (fields.hasNext()) {
            Map.Entry<CharSequence, CharSequence> field = fields.next();
            bytes += FIELD_BYTES + field.getKey().length() + field.getValue().length();
        }
        return bytes;
    }
}
