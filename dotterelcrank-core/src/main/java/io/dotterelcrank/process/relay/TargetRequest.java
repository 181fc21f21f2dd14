package io.dotterelcrank.process.relay;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

import io.dotterelcrank.process.membership.TargetRegistration;
import io.dotterelcrank.request.CallerRequest;

/**
 * One request to one target. Immutable.
 *
 * @param request the caller's request
 * @param target where it goes; any other target at the address refuses it
 * @param workspace name of the caller's workspace, if the route asks for a key
 * @param remainingMillis how long the caller still waits, in milliseconds
 * @param priority rank among the target's requests, for engines
 * @param reuseConnection whether a connection that served an earlier request may be used
 * @param resumeFrom copy of the run's memory to go on from
 * @param lastEventId id of the last event that the caller has, where a run goes on
 * @param backup target that is to keep a copy of the run's memory
 */
public record TargetRequest(CallerRequest request, TargetRegistration target, Optional<String> workspace,
		long remainingMillis, OptionalInt priority, boolean reuseConnection, Optional<KvCopy> resumeFrom,
		OptionalLong lastEventId, Optional<TargetRegistration> backup) {

	/**
	 * A copy of a run's memory. Immutable.
	 *
	 * @param holder target that holds the copy, and at which the run goes on
	 * @param handleOwner target whose address names the copy
	 * @param handle name of the copy there
	 */
	public record KvCopy(TargetRegistration holder, TargetRegistration handleOwner, String handle) {
	}

}
