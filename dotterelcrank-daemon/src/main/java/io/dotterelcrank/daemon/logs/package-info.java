/**
 * Analysis of log files: the trace of a request, and the state of a process at a point in
 * time.
 */
package io.dotterelcrank.daemon.logs;
