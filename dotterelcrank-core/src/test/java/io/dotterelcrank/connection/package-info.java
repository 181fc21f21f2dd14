/**
 * Tests for message encoding and the TCP transport.
 */
package io.dotterelcrank.connection;
