package org.mustardlane.proof.fleet;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The forwarders in front of routers and targets. Setting their state simulates network
 * partitions between failure domains.
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
	 * Sets the state of all links between two failure domains, from router to router and
	 * from router to target.
	 * @param one a failure domain
	 * @param other the other failure domain
	 * @param state the new state of the links
	 */
	public void set(String one, String other, LinkState state) {
		set(this.routers, one, other, state);
		set(this.targets, one, other, state);
	}

	/**
	 * Sets the state of the links to one target.
	 * @param target the name of the target
	 * @param state the new state of the links
	 */
	public void setTarget(String target, LinkState state) {
		this.targets.get(target).forwarder().set(state);
	}

	/**
	 * Returns the number of bytes sent between routers.
	 * @return the number of bytes
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
	 * A forwarder and the failure domain that it leads to.
	 *
	 * @param domain the failure domain of the router or target
	 * @param forwarder the forwarder
	 */
	private record Endpoint(String domain, Forwarder forwarder) {

	}

}
