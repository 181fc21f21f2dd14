package io.dotterelcrank.version.plan;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * Routes, services, workspaces and limits of one version. Invariant: of the routes of a
 * host, the one with the longest prefix wins. Immutable and thread-safe.
 */
public final class ServingPlan {

	/** Version of the plan; grows with each change. */
	private final long version;

	/** Routes by host, longest prefix first. */
	private final Map<String, List<Route>> routes;

	/** Services by name. */
	private final Map<String, ServiceSpec> services;

	/** Workspaces by key. */
	private final Map<String, Workspace> workspaces;

	/** Whether any workspace is configured, so that keys are checked. */
	private final boolean requiresKeys;

	/** Limits for callers. */
	private final CallerLimits limits;

	private ServingPlan(long version, Map<String, List<Route>> routes, Map<String, ServiceSpec> services,
			Map<String, Workspace> workspaces, boolean keyed, CallerLimits limits) {
		this.version = version;
		this.routes = routes;
		this.services = services;
		this.workspaces = workspaces;
		this.requiresKeys = keyed;
		this.limits = limits;
	}

	/**
	 * Creates a plan.
	 * @param version version of the plan
	 * @param routes its routes
	 * @param services its services
	 * @param workspaces its workspaces; empty if requests need no key
	 * @param limits limits for callers
	 * @return a new plan
	 */
	public static ServingPlan of(long version, List<Route> routes, List<ServiceSpec> services,
			List<Workspace> workspaces, CallerLimits limits) {
		Map<String, List<Route>> byHost = new HashMap<>();
		for (Route route : routes) {
			byHost.computeIfAbsent(route.host(), (host) -> new ArrayList<>()).add(route);
		}
		byHost.values()
			.forEach((list) -> list
				.sort(Comparator.comparingInt((Route route) -> route.pathPrefix().length()).reversed()));
		Map<String, ServiceSpec> byName = new HashMap<>();
		services.forEach((service) -> byName.put(service.name(), service));
		Map<String, Workspace> byKey = new HashMap<>();
		workspaces.forEach((workspace) -> workspace.keys().forEach((key) -> byKey.put(key, workspace)));
		return new ServingPlan(version, byHost, byName, byKey, !workspaces.isEmpty(), limits);
	}

	/**
	 * Returns the version.
	 * @return version of the plan
	 */
	public long version() {
		return this.version;
	}

	/**
	 * Finds the route of a request.
	 * @param host host that the request names, with or without a port
	 * @param path path of the request, with or without a query
	 * @return the route with the longest matching prefix
	 */
	public Optional<Route> route(String host, String path) {
		int query = path.indexOf('?');
		String bare = (query < 0) ? path : path.substring(0, query);
		return this.routes.getOrDefault(hostName(host), List.of())
			.stream()
			.filter((route) -> bare.startsWith(route.pathPrefix()))
			.findFirst();
	}

	private static String hostName(String host) {
		int port = host.lastIndexOf(':');
		return ((port < 0) ? host : host.substring(0, port)).toLowerCase(Locale.ROOT);
	}

	/**
	 * Finds a service.
	 * @param name name of the service
	 * @return the service
	 */
	public Optional<ServiceSpec> service(String name) {
		return Optional.ofNullable(this.services.get(name));
	}

	/**
	 * Finds the workspace that holds a key.
	 * @param key the key
	 * @return the workspace
	 */
	public Optional<Workspace> workspace(String key) {
		return Optional.ofNullable(this.workspaces.get(key));
	}

	/**
	 * Tells whether requests need a key.
	 * @return {@code true} if the plan has workspaces
	 */
	public boolean requiresKeys() {
		return this.requiresKeys;
	}

	/**
	 * Returns the limits for callers.
	 * @return the limits
	 */
	public CallerLimits limits() {
		return this.limits;
	}

}
