/**
 * Connections between processes: messages, their encoding, links and heartbeats.
 */
package io.dotterelcrank.connection;
