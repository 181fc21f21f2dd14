/**
 * Reads the logs of processes afterwards: the story of a request, and what a process
 * believed.
 */
package io.dotterelcrank.daemon.logs;
