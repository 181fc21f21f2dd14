package io.dotterelcrank.common;

import java.util.concurrent.Executor;

/**
 * Clock and executors that the parts of a process share. Immutable.
 *
 * @param clock clock that all timeouts and ages are measured with
 * @param scheduler runs state changes one at a time; its tasks must not block
 * @param io runs blocking calls to other systems
 */
public record ExecutionContext(Clock clock, Scheduler scheduler, Executor io) {
}
