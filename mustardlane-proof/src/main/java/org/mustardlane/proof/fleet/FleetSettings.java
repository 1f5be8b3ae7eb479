package org.mustardlane.proof.fleet;

import java.util.List;

/**
 * The size of a fleet and the flags of its processes.
 *
 * @param domains the failure domains; routers and targets are assigned to them
 * round-robin
 * @param routers number of routers
 * @param engines number of engines
 * @param services number of replicas of the plain service
 * @param routerFlags additional flags of each router
 * @param platformFlags additional flags of the platform
 * @param engineFlags additional flags of the engines
 * @param serviceFlags additional flags of the plain service
 * @param engineSlots number of requests that an engine or a service replica runs at once
 * @param forwardTargets whether routers reach each target through a forwarder
 */
public record FleetSettings(List<String> domains, int routers, int engines, int services, List<String> routerFlags,
		List<String> platformFlags, List<String> engineFlags, List<String> serviceFlags, int engineSlots,
		boolean forwardTargets) {

	/**
	 * Three routers, eight engines and three replicas of a plain service in three failure
	 * domains.
	 */
	public static final FleetSettings SMALL = new FleetSettings(List.of("north", "middle", "south"), 3, 8, 3, List.of(),
			List.of(), List.of(), List.of(), 8, true);

	/**
	 * Copies the collections, so that the record is immutable.
	 */
	public FleetSettings {
		domains = List.copyOf(domains);
		routerFlags = List.copyOf(routerFlags);
		platformFlags = List.copyOf(platformFlags);
		engineFlags = List.copyOf(engineFlags);
		serviceFlags = List.copyOf(serviceFlags);
	}

	/**
	 * Returns these settings with another number of routers.
	 * @param count the new number
	 * @return the changed settings
	 */
	public FleetSettings withRouters(int count) {
		return new FleetSettings(this.domains, count, this.engines, this.services, this.routerFlags, this.platformFlags,
				this.engineFlags, this.serviceFlags, this.engineSlots, this.forwardTargets);
	}

	/**
	 * Returns these settings with other additional flags for the routers.
	 * @param flags the flags
	 * @return the changed settings
	 */
	public FleetSettings withRouterFlags(List<String> flags) {
		return new FleetSettings(this.domains, this.routers, this.engines, this.services, flags, this.platformFlags,
				this.engineFlags, this.serviceFlags, this.engineSlots, this.forwardTargets);
	}

	/**
	 * Returns these settings with other additional flags for the platform.
	 * @param flags the flags
	 * @return the changed settings
	 */
	public FleetSettings withPlatformFlags(List<String> flags) {
		return new FleetSettings(this.domains, this.routers, this.engines, this.services, this.routerFlags, flags,
				this.engineFlags, this.serviceFlags, this.engineSlots, this.forwardTargets);
	}

	/**
	 * Returns these settings with another number and configuration of engines.
	 * @param count the new number
	 * @param slots number of requests that an engine runs at once
	 * @param flags the flags
	 * @return the changed settings
	 */
	public FleetSettings withEngines(int count, int slots, List<String> flags) {
		return new FleetSettings(this.domains, this.routers, count, this.services, this.routerFlags, this.platformFlags,
				flags, this.serviceFlags, slots, this.forwardTargets);
	}

	/**
	 * Returns these settings with targets that routers reach directly, without
	 * forwarders.
	 * @return the changed settings
	 */
	public FleetSettings withDirectTargets() {
		return new FleetSettings(this.domains, this.routers, this.engines, this.services, this.routerFlags,
				this.platformFlags, this.engineFlags, this.serviceFlags, this.engineSlots, false);
	}

	/**
	 * Returns the failure domain of a router or target.
	 * @param index index of the router or target within its group, starting at 0
	 * @return the domain
	 */
	public String domain(int index) {
		return this.domains.get(index % this.domains.size());
	}

}
