package org.mustardlane.proof.fleet;

import java.util.List;

/**
 * What a fleet consists of.
 *
 * @param domains the failure domains, over which everything is spread in turn
 * @param routers number of routers
 * @param engines number of engines
 * @param services number of replicas of the plain service
 * @param routerFlags further flags of each router
 * @param platformFlags flags of the platform
 * @param engineFlags flags of the engines
 * @param serviceFlags flags of the plain service
 * @param engineSlots requests that an engine runs at once
 * @param forwardTargets whether a forwarder stands before each target
 */
public record FleetSettings(List<String> domains, int routers, int engines, int services, List<String> routerFlags,
		List<String> platformFlags, List<String> engineFlags, List<String> serviceFlags, int engineSlots,
		boolean forwardTargets) {

	/**
	 * Three routers, eight engines and three replicas of a plain service over three
	 * failure domains.
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
	 * @param count the number
	 * @return the settings
	 */
	public FleetSettings withRouters(int count) {
		return new FleetSettings(this.domains, count, this.engines, this.services, this.routerFlags, this.platformFlags,
				this.engineFlags, this.serviceFlags, this.engineSlots, this.forwardTargets);
	}

	/**
	 * Returns these settings with other flags of each router.
	 * @param flags the flags
	 * @return the settings
	 */
	public FleetSettings withRouterFlags(List<String> flags) {
		return new FleetSettings(this.domains, this.routers, this.engines, this.services, flags, this.platformFlags,
				this.engineFlags, this.serviceFlags, this.engineSlots, this.forwardTargets);
	}

	/**
	 * Returns these settings with other flags of the platform.
	 * @param flags the flags
	 * @return the settings
	 */
	public FleetSettings withPlatformFlags(List<String> flags) {
		return new FleetSettings(this.domains, this.routers, this.engines, this.services, this.routerFlags, flags,
				this.engineFlags, this.serviceFlags, this.engineSlots, this.forwardTargets);
	}

	/**
	 * Returns these settings with other engines.
	 * @param count the number
	 * @param slots requests that an engine runs at once
	 * @param flags the flags
	 * @return the settings
	 */
	public FleetSettings withEngines(int count, int slots, List<String> flags) {
		return new FleetSettings(this.domains, this.routers, count, this.services, this.routerFlags, this.platformFlags,
				flags, this.serviceFlags, slots, this.forwardTargets);
	}

	/**
	 * Returns these settings without forwarders before the targets.
	 * @return the settings
	 */
	public FleetSettings withDirectTargets() {
		return new FleetSettings(this.domains, this.routers, this.engines, this.services, this.routerFlags,
				this.platformFlags, this.engineFlags, this.serviceFlags, this.engineSlots, false);
	}

	/**
	 * Returns the failure domain of the member of a group.
	 * @param index number of the member, from 0
	 * @return the domain
	 */
	public String domain(int index) {
		return this.domains.get(index % this.domains.size());
	}

}
