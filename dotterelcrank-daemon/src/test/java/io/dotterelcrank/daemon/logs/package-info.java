/**
 * Tests of the analysis of log files.
 */
package io.dotterelcrank.daemon.logs;
