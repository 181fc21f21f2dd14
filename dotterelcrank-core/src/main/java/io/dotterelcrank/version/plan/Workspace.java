package io.dotterelcrank.version.plan;

import java.util.List;
import java.util.OptionalInt;

/**
 * Workspace and its API keys. Immutable.
 *
 * @param name name of the workspace
 * @param keys API keys of its callers
 * @param priority priority of its requests, which overrides that of the route; 0 is the
 * highest
 */
public record Workspace(String name, List<String> keys, OptionalInt priority) {
}
