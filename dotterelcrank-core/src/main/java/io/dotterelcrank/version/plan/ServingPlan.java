package io.dotterelcrank.version.plan;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.dotterelcrank.common.WireText;

/**
 * Routes, services, workspaces and limits of one version. Among the routes of a host, the
 * one with the longest matching prefix wins. Immutable.
 */
public final class ServingPlan {

	private final long version;

	/** By host, longest prefix first. */
	private final Map<String, List<PrefixedRoute>> routes;

	private final Map<String, ServiceSpec> services;

	private final ApiKeyIndex apiKeys;

	private final List<Workspace> workspaces;

	private final boolean requiresApiKeys;

	private final CallerLimits limits;

	private ServingPlan(long version, Map<String, List<PrefixedRoute>> routes, Map<String, ServiceSpec> services,
			List<Workspace> workspaces, boolean requiresApiKeys, CallerLimits limits) {
		this.version = version;
		this.routes = routes;
		this.services = services;
		this.apiKeys = ApiKeyIndex.of(workspaces);
		this.workspaces = List.copyOf(workspaces);
		this.requiresApiKeys = requiresApiKeys;
		this.limits = limits;
	}

	/**
	 * Creates a plan whose requests need the API key of a workspace.
	 * @param version version of the plan; increases with each change
	 * @param routes routes in any order
	 * @param services services with distinct names
	 * @param workspaces workspaces; if there are none, no key is known
	 * @param limits limits for callers
	 * @return a new plan
	 */
	public static ServingPlan of(long version, List<Route> routes, List<ServiceSpec> services,
			List<Workspace> workspaces, CallerLimits limits) {
		return create(version, routes, services, workspaces, true, limits);
	}

	/**
	 * Creates a plan without workspaces, whose requests need no API key.
	 * @param version version of the plan; increases with each change
	 * @param routes routes in any order
	 * @param services services with distinct names
	 * @param limits limits for callers
	 * @return a new plan
	 */
	public static ServingPlan withoutWorkspaces(long version, List<Route> routes, List<ServiceSpec> services,
			CallerLimits limits) {
		return create(version, routes, services, List.of(), false, limits);
	}

	private static ServingPlan create(long version, List<Route> routes, List<ServiceSpec> services,
			List<Workspace> workspaces, boolean requiresApiKeys, CallerLimits limits) {
		Map<String, List<PrefixedRoute>> routesByHost = new HashMap<>();
		for (Route route : routes) {
			Optional<String> host = WireText.of(route.host()).map(ServingPlan::lowerCase);
			Optional<String> prefix = WireText.of(route.pathPrefix()).map(WireText::ofPath);
			if (host.isPresent() && prefix.isPresent()) {
				routesByHost.computeIfAbsent(host.get(), (key) -> new ArrayList<>())
					.add(new PrefixedRoute(prefix.get(), route));
			}
		}
		routesByHost.values()
			.forEach((list) -> list
				.sort(Comparator.comparingInt((PrefixedRoute entry) -> entry.prefix().length()).reversed()));
		Map<String, ServiceSpec> servicesByName = new HashMap<>();
		services.forEach((service) -> servicesByName.put(service.name(), service));
		return new ServingPlan(version, routesByHost, servicesByName, workspaces, requiresApiKeys, limits);
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
	 * @param host value of the Host header, with or without a port, a character for each
	 * byte
	 * @param path path of the request, with or without a query, a character for each byte
	 * @return the route with the longest matching prefix, or empty if none matches
	 */
	public Optional<Route> route(String host, String path) {
		int query = path.indexOf('?');
		String pathWithoutQuery = WireText.ofPath((query < 0) ? path : path.substring(0, query));
		return this.routes.getOrDefault(hostWithoutPort(host), List.of())
			.stream()
			.filter((entry) -> pathWithoutQuery.startsWith(entry.prefix()))
			.map(PrefixedRoute::route)
			.findFirst();
	}

	/**
	 * Converts ASCII letters only: each of the others is a part of a letter.
	 * @param host a character for each byte of a host name
	 * @return the host in lower case
	 */
	private static String lowerCase(String host) {
		StringBuilder lower = new StringBuilder(host);
		for (int i = 0; i < lower.length(); i++) {
			char letter = lower.charAt(i);
			lower.setCharAt(i, (letter >= 'A' && letter <= 'Z') ? Character.toLowerCase(letter) : letter);
		}
		return lower.toString();
	}

	private static String hostWithoutPort(String host) {
		int port = host.lastIndexOf(':');
		return lowerCase((port < 0) ? host : host.substring(0, port));
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
	 * @param key key as sent by the caller, a character for each byte
	 * @return the workspace, or empty if the key is unknown
	 */
	public Optional<Workspace> workspace(String key) {
		return this.apiKeys.find(key);
	}

	/**
	 * Returns the names of the workspaces whose requests cannot be served.
	 * @return names that no header carries to targets
	 */
	public List<String> unservedWorkspaces() {
		return this.workspaces.stream()
			.map(Workspace::name)
			.filter((name) -> WireText.ofHeader(name).isEmpty())
			.toList();
	}

	/**
	 * Returns whether requests need an API key, except on routes where it is optional.
	 * @return {@code true} if the plan names workspaces, though it be none
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

	/**
	 * A route with its prefix as it is compared. Immutable.
	 *
	 * @param prefix a character for each byte
	 * @param route the route
	 */
	private record PrefixedRoute(String prefix, Route route) {
	}

}
