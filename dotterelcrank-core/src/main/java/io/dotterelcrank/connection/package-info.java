/**
 * What lives for one connection between an entry host and a sidecar: messages, frames,
 * links.
 */
package io.dotterelcrank.connection;
