/**
 * HTTP servers towards callers and operators.
 */
package io.dotterelcrank.daemon.http;
