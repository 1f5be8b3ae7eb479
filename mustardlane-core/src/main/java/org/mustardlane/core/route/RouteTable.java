package org.mustardlane.core.route;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

import org.mustardlane.core.model.common.PoolId;

/**
 * One version of all routes, pools and organisations.
 *
 * <p>
 * Immutable. A request keeps using the table in which its route was looked up.
 */
public final class RouteTable {

	private final long version;

	private final Map<String, List<Route>> routesByHost;

	private final Map<PoolId, PoolSpec> pools;

	private final Map<String, Organisation> organisationsByKey;

	private final boolean keysRequired;

	private final RequestLimits limits;

	/**
	 * Creates a table.
	 * @param version the version number
	 * @param routes the routes
	 * @param pools the pools
	 * @param organisationsByKey the organisation that owns each key
	 * @param keysRequired whether requests need a key, except on routes that allow
	 * anonymous requests
	 * @param limits the limits on requests from callers
	 */
	public RouteTable(long version, List<Route> routes, List<PoolSpec> pools,
			Map<String, Organisation> organisationsByKey, boolean keysRequired, RequestLimits limits) {
		this.version = version;
		this.routesByHost = groupByHost(routes);
		this.pools = new HashMap<>();
		pools.forEach((pool) -> this.pools.put(pool.id(), pool));
		this.organisationsByKey = Map.copyOf(organisationsByKey);
		this.keysRequired = keysRequired;
		this.limits = limits;
	}

	private static Map<String, List<Route>> groupByHost(List<Route> routes) {
		Map<String, List<Route>> routesByHost = new HashMap<>();
		for (Route route : routes) {
			routesByHost.computeIfAbsent(route.host(), (host) -> new ArrayList<>()).add(route);
		}
		Comparator<Route> longestPrefixFirst = Comparator.comparingInt((route) -> -route.pathPrefix().length());
		routesByHost.values().forEach((hostRoutes) -> hostRoutes.sort(longestPrefixFirst));
		return routesByHost;
	}

	/**
	 * Finds the route of a host with the longest path prefix that matches a path.
	 * @param host host as the caller sent it, with or without a port
	 * @param path path as the caller sent it, without its query
	 * @return the route, or empty if none matches
	 */
	public Optional<Route> find(String host, String path) {
		for (Route route : this.routesByHost.getOrDefault(canonicalHost(host), List.of())) {
			if (path.startsWith(route.pathPrefix())) {
				return Optional.of(route);
			}
		}
		return Optional.empty();
	}

	/**
	 * Converts a host to the form used in routes.
	 * @param host host as the caller sent it
	 * @return the host in lower case without its port
	 */
	public static String canonicalHost(String host) {
		int colonIndex = host.lastIndexOf(':');
		String name = (colonIndex >= 0 && host.indexOf(']', colonIndex) < 0) ? host.substring(0, colonIndex) : host;
		return name.toLowerCase(Locale.ROOT);
	}

	/**
	 * Finds the organisation that owns a key.
	 * @param key the key
	 * @return the organisation, or empty if the key is unknown
	 */
	public Optional<Organisation> organisationOf(String key) {
		return Optional.ofNullable(this.organisationsByKey.get(key));
	}

	/**
	 * Returns whether requests on a route need a key.
	 * @param route the route
	 * @return true if a key is needed
	 */
	public boolean requiresKey(Route route) {
		return this.keysRequired && !route.anonymousAllowed();
	}

	/**
	 * Finds a pool.
	 * @param id name of the pool
	 * @return the pool, or empty if this version has no pool of that name
	 */
	public Optional<PoolSpec> pool(PoolId id) {
		return Optional.ofNullable(this.pools.get(id));
	}

	/**
	 * Returns the version number.
	 * @return the version number
	 */
	public long version() {
		return this.version;
	}

	/**
	 * Returns the limits on requests from callers.
	 * @return the limits
	 */
	public RequestLimits limits() {
		return this.limits;
	}

	/**
	 * Returns the number of routes.
	 * @return the number of routes
	 */
	public int routeCount() {
		return this.routesByHost.values().stream().mapToInt(List::size).sum();
	}

}
