package loadbalancer.upstream;

import java.nio.charset.StandardCharsets;
import loadbalancer.policy.Policy;
import loadbalancer.proxy.HeaderFields;
import loadbalancer.proxy.ProxyRequest;
import loadbalancer.proxy.UpstreamResponse;
import loadbalancer.settings.LoadReport;

/** Health checks and load reports, which are the same over HTTP/1.1 and HTTP/3. No state, no I/O. */
public final class HealthCheck {
    private static final String HEALTH_PATH = "/-/healthy";
    private static final String LOAD_PATH = "/-/load";
    private static final String LOAD_HEADER = "Srv-Load";
    private static final byte[] NO_BODY = new byte[0];

    private HealthCheck() {}

    /** The request of a health check; {@code withLoadReport}: it asks for the load report as well. */
    public static ProxyRequest request(boolean withLoadReport) {
        String path = withLoadReport ? LOAD_PATH : HEALTH_PATH;
        return new ProxyRequest("", "GET", path, HeaderFields.NONE, NO_BODY, -1, 0, null, 0, -1, false);
    }

    /**
     * The load that an upstream reports with a response: in a header, or in the body of a health check.
     *
     * @param healthCheck whether {@code response} is that of a health check
     * @return null where it reports none that can be read
     */
    public static Policy.Load reportedLoad(UpstreamResponse response, boolean healthCheck) {
        String report = response.fields().get(LOAD_HEADER);
        if (report == null && healthCheck) {
            report = new String(response.body(), StandardCharsets.UTF_8);
        }
        return LoadReport.parse(report);
    }
}
