import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A config of the operator, with the limits of the pages' example. */
final class Config {
    private final List<Object> routes = new ArrayList<>();
    private final Map<String, Object> services = new LinkedHashMap<>();

    Config route(String prefix, String kind, int timeoutMs, int targetMs, String service, int attempts) {
        return route(prefix, kind, timeoutMs, targetMs, service, attempts, false);
    }

    Config resumableRoute(String prefix, int timeoutMs, int targetMs, String service, int attempts) {
        return route(prefix, "streaming", timeoutMs, targetMs, service, attempts, true);
    }

    private Config route(String prefix, String kind, int timeoutMs, int targetMs, String service, int attempts,
        boolean isResumable) {
        routes.add(Json.map("name", "r" + prefix.replace("/", ""), "host", "entry.example", "prefix", prefix, "kind",
            kind, "timeoutMs", timeoutMs, "targetLatencyMs", targetMs, "priority", 2, "service", service, "maxAttempts",
            attempts, "gapTargetMs", 300, "sessionAffinity", kind.equals("streaming"), "allowResume", isResumable));
        return this;
    }

    Config plainService(String name) {
        services.put(name, Json.map("name", name, "healthPath", "/health", "maxConnections", 96, "protocol", "h1",
            "tls", false));
        return this;
    }

    Config engineService(String name) {
        Map<String, Object> engine = Json.map("slots", 64, "kvTokens", 38202, "tokenKvBytes", 18432, "linkMbps",
            740000.0, "moves", true, "backups", true, "stride", 13, "most", 12, "handleTtlS", 0.5, "switchS", 6.0,
            "pinMs", 4000.0, "holdMs", 2000.0, "models", List.of(Json.map("name", "m")));
        services.put(name, Json.map("name", name, "healthPath", "/health", "maxConnections", 360, "protocol", "h1",
            "tls", false, "engine", engine));
        return this;
    }

    String text(int version) {
        Map<String, Object> limits = Json.map("maxHeaderBytes", 16384, "maxBodyBytes", 4194304, "headerTimeoutMs", 3000,
            "idleTimeoutMs", 15000);
        return Json.write(Json.map("version", version, "routes", routes, "services", new ArrayList<>(services.values()),
            "limits", limits));
    }
}
