package org.mustardlane.proof.fleet;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The forwarders in front of routers and targets. Setting their state simulates network
 * partitions between failure domains.
 */
public final class NetworkLinks {

	private final ConnectionSources connectionSources = new ConnectionSources();

	private final Map<String, Endpoint> routers = new ConcurrentHashMap<>();

	private final Map<String, Endpoint> targets = new ConcurrentHashMap<>();

	Forwarder routerForwarder(String vm, String domain) {
		return this.routers.computeIfAbsent(vm, (key) -> new Endpoint(domain, new Forwarder(this.connectionSources)))
			.forwarder();
	}

	Forwarder targetForwarder(String name, String domain) {
		return this.targets.computeIfAbsent(name, (key) -> new Endpoint(domain, new Forwarder(this.connectionSources)))
			.forwarder();
	}

	void addProcess(long pid, String domain) {
		this.connectionSources.addProcess(pid, domain);
	}

	/**
	 * Sets the state of all links between two failure domains, from router to router and
	 * from router to target.
	 * @param firstDomain a failure domain
	 * @param secondDomain the other failure domain
	 * @param state the new state of the links
	 */
	public void setDomainLink(String firstDomain, String secondDomain, LinkState state) {
		setLinkState(this.routers, firstDomain, secondDomain, state);
		setLinkState(this.targets, firstDomain, secondDomain, state);
	}

	/**
	 * Sets the state of the links to one target.
	 * @param target the name of the target
	 * @param state the new state of the links
	 */
	public void setTargetLink(String target, LinkState state) {
		this.targets.get(target).forwarder().setState(state);
	}

	/**
	 * Returns the number of bytes sent between routers.
	 * @return the number of bytes
	 */
	public long bytesBetweenRouters() {
		return this.routers.values().stream().mapToLong((endpoint) -> endpoint.forwarder().forwardedBytes()).sum();
	}

	void close() {
		this.routers.values().forEach((endpoint) -> endpoint.forwarder().close());
		this.targets.values().forEach((endpoint) -> endpoint.forwarder().close());
	}

	private static void setLinkState(Map<String, Endpoint> endpoints, String firstDomain, String secondDomain,
			LinkState state) {
		for (Endpoint endpoint : endpoints.values()) {
			if (endpoint.domain().equals(firstDomain)) {
				endpoint.forwarder().setState(secondDomain, state);
			}
			else if (endpoint.domain().equals(secondDomain)) {
				endpoint.forwarder().setState(firstDomain, state);
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
