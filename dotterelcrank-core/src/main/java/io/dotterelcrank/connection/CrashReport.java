package io.dotterelcrank.connection;

import java.util.List;

/**
 * The loss of a target as seen by one or more entry hosts. Immutable.
 *
 * @param target incarnation of the target
 * @param lostAgeMillis time since connections to the target were lost, in milliseconds
 * @param aliveAgeMillis time since a request was sent that the target has responded to,
 * in milliseconds; -1 if none is known. A target that was alive after the loss has not
 * crashed
 * @param suspects requests that were starting on the target
 */
public record CrashReport(String target, long lostAgeMillis, long aliveAgeMillis, List<CrashSuspect> suspects) {
}
