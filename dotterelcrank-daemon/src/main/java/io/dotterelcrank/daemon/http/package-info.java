/**
 * HTTP servers for callers and operators.
 */
package io.dotterelcrank.daemon.http;
