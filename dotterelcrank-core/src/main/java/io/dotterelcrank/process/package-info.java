/**
 * What lives as long as a process: clock, identity, result of control work.
 */
package io.dotterelcrank.process;
