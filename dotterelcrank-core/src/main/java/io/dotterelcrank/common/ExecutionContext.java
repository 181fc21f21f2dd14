package io.dotterelcrank.common;

import java.util.concurrent.Executor;

/**
 * Time and threads of a process. Immutable.
 *
 * @param clock clock of the process
 * @param scheduler runs the decisions
 * @param io runs the calls, which block
 */
public record ExecutionContext(Clock clock, Scheduler scheduler, Executor io) {
}
