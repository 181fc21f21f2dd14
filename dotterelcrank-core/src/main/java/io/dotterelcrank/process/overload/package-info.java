/**
 * Decisions on requests while a service is short of capacity: how long they would wait,
 * which are refused, when callers may return, and who is next. Plain classes without
 * input and output.
 */
package io.dotterelcrank.process.overload;
