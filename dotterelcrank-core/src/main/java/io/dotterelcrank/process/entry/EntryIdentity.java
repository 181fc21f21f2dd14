package io.dotterelcrank.process.entry;

/**
 * Who an entry process is. Immutable.
 *
 * @param name name of the host in the host list
 * @param dataCentre its data centre
 * @param incarnation start time of the process in milliseconds
 */
public record EntryIdentity(String name, String dataCentre, long incarnation) {
}
