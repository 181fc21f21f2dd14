package io.dotterelcrank.process.entry;

/**
 * Identifies an entry process. Immutable.
 *
 * @param name name of the host in the host list
 * @param dataCentre data centre of the host
 * @param incarnation start time of the process, in milliseconds
 */
public record EntryIdentity(String name, String dataCentre, long incarnation) {
}
