package io.dotterelcrank.process.relay;

import java.util.Optional;

import io.dotterelcrank.common.RendezvousHash;
import io.dotterelcrank.common.WireText;
import io.dotterelcrank.request.CallerRequest;
import io.dotterelcrank.request.Failure;
import io.dotterelcrank.request.RequestException;
import io.dotterelcrank.request.ResultCode;
import io.dotterelcrank.version.plan.Route;
import io.dotterelcrank.version.plan.ServiceSpec;
import io.dotterelcrank.version.plan.ServingPlan;
import io.dotterelcrank.version.plan.Workspace;

/**
 * Finds the route, service and workspace of a request in the serving plan. Addresses the
 * pattern of a host that has missed a change of the plan: it must not call a route or key
 * unknown that others know already. Stateless.
 */
final class RouteResolver {

	private RouteResolver() {
	}

	/**
	 * Resolves a request.
	 * @param request the caller's request
	 * @param plan plan in force at this host
	 * @param planAgeMillis time since the plan was known to be current, in milliseconds
	 * @param boundMillis time within which a change must be in force, in milliseconds; an
	 * older plan may lack one
	 * @return route, service and workspace
	 * @throws RequestException if there is none, with a failure that states that the
	 * request has not run
	 */
	static Resolution resolve(CallerRequest request, ServingPlan plan, long planAgeMillis, long boundMillis)
			throws RequestException {
		Optional<Route> route = plan.route(request.host(), request.uri());
		if (route.isEmpty()) {
			throw unknown(ResultCode.UNKNOWN_ROUTE, "no route for " + request.host() + request.uri(), plan,
					planAgeMillis, boundMillis);
		}
		Optional<Workspace> workspace = Optional.empty();
		if (plan.requiresApiKeys() && !route.get().apiKeyOptional()) {
			workspace = request.apiKey().flatMap(plan::workspace);
			if (workspace.isEmpty()) {
				throw unknown(ResultCode.UNKNOWN_KEY, "the key belongs to no workspace", plan, planAgeMillis,
						boundMillis);
			}
			if (WireText.ofHeader(workspace.get().name()).isEmpty()) {
				throw Failure
					.notRun(ResultCode.WORKSPACE_NOT_SERVED, "no header carries the name of the caller's workspace")
					.toException();
			}
		}
		Optional<ServiceSpec> service = route.get().selectService(routingFraction(request)).flatMap(plan::service);
		if (service.isEmpty()) {
			throw Failure.notRun(ResultCode.NO_TARGET, "route " + route.get().name() + " refers to no known service")
				.toException();
		}
		return new Resolution(route.get(), service.get(), workspace);
	}

	private static RequestException unknown(ResultCode code, String reason, ServingPlan plan, long planAgeMillis,
			long boundMillis) {
		String message = reason + " in version " + plan.version() + ", current " + planAgeMillis + " ms ago";
		return Failure.notRun((planAgeMillis <= boundMillis) ? code : ResultCode.NOT_READY, message).toException();
	}

	/**
	 * Returns a number derived from the request id, which selects among the route's
	 * weighted services.
	 * @param request the caller's request
	 * @return number from 0 up to but not including 1
	 */
	private static double routingFraction(CallerRequest request) {
		return (RendezvousHash.hash(request.id()) >>> 11) * 0x1.0p-53;
	}

	/**
	 * Where a request goes and whose it is. Immutable.
	 *
	 * @param route route of the request
	 * @param service service selected for it
	 * @param workspace workspace of the caller; empty if the route needs no key
	 */
	record Resolution(Route route, ServiceSpec service, Optional<Workspace> workspace) {
	}

}
