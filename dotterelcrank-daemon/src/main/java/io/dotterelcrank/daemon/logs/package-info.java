/**
 * Analysis of log files: the trace of a request, and what a process knew at a point in
 * time.
 */
package io.dotterelcrank.daemon.logs;
