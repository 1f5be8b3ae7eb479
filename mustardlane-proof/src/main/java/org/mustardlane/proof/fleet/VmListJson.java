package org.mustardlane.proof.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Builds the VM list in the JSON form of the platform.
 */
final class VmListJson {

	private VmListJson() {
	}

	/**
	 * Returns the VM list.
	 * @param routers the routers
	 * @param targets the targets
	 * @param leaving names of the VMs that are leaving
	 * @return the JSON document
	 */
	static Map<String, Object> create(Collection<RouterHandle> routers, Collection<TargetHandle> targets,
			Set<String> leaving) {
		List<Map<String, Object>> rows = new ArrayList<>();
		routers.forEach((router) -> rows.add(row(router.vm(), router.domain(), router.peerPort(), leaving)));
		targets.forEach((target) -> rows.add(row(target.name(), target.domain(), 0, leaving)));
		return Map.of("vms", rows);
	}

	private static Map<String, Object> row(String vm, String domain, int port, Set<String> leaving) {
		return Map.of("vm", vm, "domain", domain, "host", "127.0.0.1", "peerPort", port, "state",
				leaving.contains(vm) ? "LEAVING" : "LIVE");
	}

}
