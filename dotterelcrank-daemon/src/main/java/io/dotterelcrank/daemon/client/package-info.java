/**
 * HTTP clients of the systems outside.
 */
package io.dotterelcrank.daemon.client;
