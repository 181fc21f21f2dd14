package io.dotterelcrank.process.quarantine;

import java.util.List;

/**
 * A request that was starting on a target when the target was lost. Immutable.
 *
 * @param request id of the request's attempt
 * @param parts ids of the shared parts of its prompt
 */
public record CrashSuspect(String request, List<String> parts) {
}
