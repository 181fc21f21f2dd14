/**
 * Tests for event ids and the order of tokens.
 */
package io.dotterelcrank.request;
