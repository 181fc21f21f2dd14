package io.dotterelcrank.version.plan;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * Routes, services, workspaces and limits of one version. Among the routes of a host, the
 * one with the longest matching prefix wins. Immutable.
 */
public final class ServingPlan {

	private final long version;

	/** By host, longest prefix first. */
	private final Map<String, List<Route>> routes;

	private final Map<String, ServiceSpec> services;

	/** By API key. */
	private final Map<String, Workspace> workspaces;

	private final boolean requiresApiKeys;

	private final CallerLimits limits;

	private ServingPlan(long version, Map<String, List<Route>> routes, Map<String, ServiceSpec> services,
			Map<String, Workspace> workspaces, boolean requiresApiKeys, CallerLimits limits) {
		this.version = version;
		this.routes = routes;
		this.services = services;
		this.workspaces = workspaces;
		this.requiresApiKeys = requiresApiKeys;
		this.limits = limits;
	}

	/**
	 * Creates a plan.
	 * @param version version of the plan; increases with each change
	 * @param routes routes in any order
	 * @param services services with distinct names
	 * @param workspaces workspaces; if empty, requests need no API key
	 * @param limits limits for callers
	 * @return a new plan
	 */
	public static ServingPlan of(long version, List<Route> routes, List<ServiceSpec> services,
			List<Workspace> workspaces, CallerLimits limits) {
		Map<String, List<Route>> routesByHost = new HashMap<>();
		for (Route route : routes) {
			routesByHost.computeIfAbsent(route.host(), (host) -> new ArrayList<>()).add(route);
		}
		routesByHost.values()
			.forEach((list) -> list
				.sort(Comparator.comparingInt((Route route) -> route.pathPrefix().length()).reversed()));
		Map<String, ServiceSpec> servicesByName = new HashMap<>();
		services.forEach((service) -> servicesByName.put(service.name(), service));
		Map<String, Workspace> workspacesByApiKey = new HashMap<>();
		workspaces.forEach((workspace) -> workspace.keys().forEach((key) -> workspacesByApiKey.put(key, workspace)));
		return new ServingPlan(version, routesByHost, servicesByName, workspacesByApiKey, !workspaces.isEmpty(),
				limits);
	}

	/**
	 * Returns the version.
	 * @return version that increases with each change
	 */
	public long version() {
		return this.version;
	}

	/**
	 * Returns the route of a request.
	 * @param host value of the Host header, with or without a port
	 * @param path path of the request, with or without a query
	 * @return the route with the longest matching prefix, or empty if none matches
	 */
	public Optional<Route> route(String host, String path) {
		int query = path.indexOf('?');
		String pathWithoutQuery = (query < 0) ? path : path.substring(0, query);
		return this.routes.getOrDefault(hostWithoutPort(host), List.of())
			.stream()
			.filter((route) -> pathWithoutQuery.startsWith(route.pathPrefix()))
			.findFirst();
	}

	private static String hostWithoutPort(String host) {
		int port = host.lastIndexOf(':');
		return ((port < 0) ? host : host.substring(0, port)).toLowerCase(Locale.ROOT);
	}

	/**
	 * Returns a service.
	 * @param name name of the service
	 * @return the service, or empty if the plan has none of that name
	 */
	public Optional<ServiceSpec> service(String name) {
		return Optional.ofNullable(this.services.get(name));
	}

	/**
	 * Returns the workspace that an API key belongs to.
	 * @param key key as sent by the caller
	 * @return the workspace, or empty if the key is unknown
	 */
	public Optional<Workspace> workspace(String key) {
		return Optional.ofNullable(this.workspaces.get(key));
	}

	/**
	 * Returns whether requests need an API key, except on routes where it is optional.
	 * @return {@code true} if the plan has workspaces
	 */
	public boolean requiresApiKeys() {
		return this.requiresApiKeys;
	}

	/**
	 * Returns the limits for callers.
	 * @return size and time limits of requests
	 */
	public CallerLimits limits() {
		return this.limits;
	}

}
