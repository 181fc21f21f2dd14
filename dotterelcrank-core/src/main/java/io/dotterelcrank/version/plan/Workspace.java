package io.dotterelcrank.version.plan;

import java.util.List;
import java.util.OptionalInt;

/**
 * A workspace and its keys. Immutable.
 *
 * @param name name of the workspace
 * @param keys keys of its callers
 * @param priority rank of its requests, which replaces that of the route
 */
public record Workspace(String name, List<String> keys, OptionalInt priority) {
}
