package io.dotterelcrank.process.relay;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

import io.dotterelcrank.process.membership.TargetRegistration;
import io.dotterelcrank.request.CallerRequest;

/**
 * A caller's request as it is sent to one target. Immutable.
 *
 * @param request the caller's request
 * @param target receiver; any other target at its address refuses the request
 * @param workspace name of the caller's workspace; empty if the route needs no key
 * @param remainingMillis time until the caller's deadline, in milliseconds
 * @param priority priority among the engine's requests; empty for plain services
 * @param resumeFrom KV copy or backup to resume a generation from; empty for a new one
 * @param lastEventId id of the last event that the caller has; empty unless this host
 * resumes the generation
 * @param backupHolder engine that is to keep a KV backup of the generation, if any
 */
public record TargetRequest(CallerRequest request, TargetRegistration target, Optional<String> workspace,
		long remainingMillis, OptionalInt priority, Optional<KvCopy> resumeFrom, OptionalLong lastEventId,
		Optional<TargetRegistration> backupHolder) {

	/**
	 * A copy of a generation's KV cache, made on demand or as a backup. Immutable.
	 *
	 * @param holder engine that holds the copy and resumes the generation
	 * @param handleOwner engine that issued the handle; its address is sent with it
	 * @param handle name of the copy at that engine
	 */
	public record KvCopy(TargetRegistration holder, TargetRegistration handleOwner, String handle) {
	}

}
