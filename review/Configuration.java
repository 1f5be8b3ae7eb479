import java.util.ArrayList;
import java.util.List;

/**
 * A configuration of the operator.
 */
final class Configuration {

	private final long version;

	private final List<String> routes = new ArrayList<>();

	private final List<String> services = new ArrayList<>();

	Configuration(long version) {
		this.version = version;
	}

	Configuration route(String prefix, String kind, String service, int timeoutMillis, int objectiveMillis, int attempts) {
		this.routes.add("{\"name\":\"r-" + prefix.replace("/", "") + "\",\"host\":\"" + Client.HOST + "\",\"" + Names.PREFIX_FIELD + "\":\""
				+ prefix + "\",\"kind\":\"" + kind + "\",\"timeout_ms\":" + timeoutMillis + ",\"slo_ms\":"
				+ objectiveMillis + ",\"priority\":0,\"service\":\"" + service + "\",\"" + Names.ATTEMPTS_FIELD + "\":" + attempts
				+ ",\"public\":false,\"sticky\":false,\"resumable\":false,\"gap_target_ms\":300}");
		return this;
	}

	Configuration service(String name) {
		this.services.add("{\"name\":\"" + name + "\",\"health_path\":\"/health\",\"max_conns\":214,\"protocol\":\"h1\",\"tls\":false}");
		return this;
	}

	@Override
	public String toString() {
		return "{\"version\":" + this.version + ",\"routes\":[" + String.join(",", this.routes) + "],\"services\":["
				+ String.join(",", this.services)
				+ "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
				+ "\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"t1\",\"api_keys\":[\"" + Client.KEY + "\"]}]}";
	}

}
