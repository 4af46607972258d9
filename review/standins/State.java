import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Builds desired states in the form of the pages. */
final class State {
    private final List<Object> routes = new ArrayList<>();
    private final List<Object> services = new ArrayList<>();

    State route(String name, String prefix, String kind, String service, long timeoutMillis, int attempts, Object... more) {
        Map<String, Object> route = map("name", name, "host", Standins.HOST, "pathPrefix", prefix, "kind", kind,
            "timeoutMs", timeoutMillis, "sloMs", 1_000L, "priority", 0L, "service", service, "attempts", (long) attempts,
            "public", false, "sticky", false, "resumable", false, "gapTargetMs", 500L, "allowedRegions", List.of());
        route.putAll(map(more));
        routes.add(route);
        return this;
    }

    State service(String name, Object... more) {
        Map<String, Object> service = map("name", name, "healthPath", "/health", "maxConns", 370L, "protocol", "h1", "tls", false,
            "coldStartS", 0.0, "coldPerS", 0.0);
        service.putAll(map(more));
        services.add(service);
        return this;
    }

    Map<String, Object> version(long version) {
        return map("version", version, "routes", new ArrayList<>(routes), "services", new ArrayList<>(services),
            "limits", map("maxHeaderBytes", 16_384L, "maxBodyBytes", 4_194_304L, "headerTimeoutMs", 3_000L, "idleTimeoutMs", 15_000L),
            "tenants", List.of(map("name", "customer-1", "apiKeys", List.of(Standins.KEY), "priority", 1L, "allowedRegions", List.of())));
    }

    static Map<String, Object> map(Object... pairs) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < pairs.length; i += 2) map.put((String) pairs[i], pairs[i + 1]);
        return map;
    }
}
