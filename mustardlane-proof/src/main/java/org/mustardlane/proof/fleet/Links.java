package org.mustardlane.proof.fleet;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The forwarders before routers and targets, by which failure domains are cut from each
 * other.
 */
public final class Links {

	private final ConnectionSources sources = new ConnectionSources();

	private final Map<String, Endpoint> routers = new ConcurrentHashMap<>();

	private final Map<String, Endpoint> targets = new ConcurrentHashMap<>();

	Forwarder toRouter(String vm, String domain) {
		return this.routers.computeIfAbsent(vm, (key) -> new Endpoint(domain, new Forwarder(this.sources))).forwarder();
	}

	Forwarder toTarget(String name, String domain) {
		return this.targets.computeIfAbsent(name, (key) -> new Endpoint(domain, new Forwarder(this.sources)))
			.forwarder();
	}

	void addSource(long pid, String domain) {
		this.sources.add(pid, domain);
	}

	/**
	 * Cuts or joins two failure domains, between routers as well as from routers to
	 * targets.
	 * @param one the one
	 * @param other the other
	 * @param state what becomes of connections
	 */
	public void set(String one, String other, LinkState state) {
		set(this.routers, one, other, state);
		set(this.targets, one, other, state);
	}

	/**
	 * Cuts or joins the links to a target.
	 * @param target its name
	 * @param state what becomes of connections
	 */
	public void setTarget(String target, LinkState state) {
		this.targets.get(target).forwarder().set(state);
	}

	/**
	 * Returns how many bytes have passed between routers.
	 * @return the number
	 */
	public long bytesBetweenRouters() {
		return this.routers.values().stream().mapToLong((endpoint) -> endpoint.forwarder().passedBytes()).sum();
	}

	void close() {
		this.routers.values().forEach((endpoint) -> endpoint.forwarder().close());
		this.targets.values().forEach((endpoint) -> endpoint.forwarder().close());
	}

	private static void set(Map<String, Endpoint> endpoints, String one, String other, LinkState state) {
		for (Endpoint endpoint : endpoints.values()) {
			if (endpoint.domain().equals(one)) {
				endpoint.forwarder().set(other, state);
			}
			else if (endpoint.domain().equals(other)) {
				endpoint.forwarder().set(one, state);
			}
		}
	}

	/**
	 * A forwarder and where it leads.
	 *
	 * @param domain the failure domain
	 * @param forwarder the forwarder
	 */
	private record Endpoint(String domain, Forwarder forwarder) {

	}

}
