package org.mustardlane.proof.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * The links between routers, and the list of VMs as each domain sees it.
 */
final class VmRows {

	private final List<String> domains;

	private final Map<String, Forwarder> links = new HashMap<>();

	private final Set<String> cutPairs = new TreeSet<>();

	VmRows(List<String> domains) {
		this.domains = domains;
	}

	/**
	 * Makes links to a router from every failure domain.
	 * @param router the router
	 */
	void link(RouterHandle router) {
		for (String domain : this.domains) {
			String key = domain + ">" + router.vm();
			Forwarder old = this.links.put(key, new Forwarder(router.peerPort()));
			if (old != null) {
				old.close();
			}
			if (isCut(domain, router.domain())) {
				this.links.get(key).set(LinkState.SILENT);
			}
		}
	}

	/**
	 * Cuts or joins two failure domains.
	 * @param one the one
	 * @param other the other
	 * @param state what becomes of connections
	 * @param routers all routers
	 */
	void set(String one, String other, LinkState state, Collection<RouterHandle> routers) {
		if (state == LinkState.OPEN) {
			this.cutPairs.remove(pair(one, other));
		}
		else {
			this.cutPairs.add(pair(one, other));
		}
		for (RouterHandle router : routers) {
			if (router.domain().equals(one)) {
				this.links.get(other + ">" + router.vm()).set(state);
			}
			else if (router.domain().equals(other)) {
				this.links.get(one + ">" + router.vm()).set(state);
			}
		}
	}

	/**
	 * Returns the list of VMs.
	 * @param domain the failure domain that sees it
	 * @param routers the routers
	 * @param targets the targets
	 * @param leaving names of the VMs that leave
	 * @return the rows
	 */
	Map<String, Object> listFor(String domain, Collection<RouterHandle> routers, Collection<TargetHandle> targets,
			Set<String> leaving) {
		List<Map<String, Object>> rows = new ArrayList<>();
		for (RouterHandle router : routers) {
			int port = this.links.get(domain + ">" + router.vm()).port();
			rows.add(row(router.vm(), router.domain(), port, leaving));
		}
		for (TargetHandle target : targets) {
			rows.add(row(target.name(), target.domain(), 0, leaving));
		}
		return Map.of("vms", rows);
	}

	/**
	 * Returns how many bytes have passed between routers.
	 * @return the number
	 */
	long passedBytes() {
		return this.links.values().stream().mapToLong(Forwarder::passedBytes).sum();
	}

	void close() {
		this.links.values().forEach(Forwarder::close);
	}

	private boolean isCut(String one, String other) {
		return this.cutPairs.contains(pair(one, other));
	}

	private static String pair(String one, String other) {
		return (one.compareTo(other) < 0) ? one + "|" + other : other + "|" + one;
	}

	private static Map<String, Object> row(String vm, String domain, int port, Set<String> leaving) {
		return Map.of("vm", vm, "domain", domain, "host", "127.0.0.1", "peerPort", port, "state",
				leaving.contains(vm) ? "LEAVING" : "LIVE");
	}

}
