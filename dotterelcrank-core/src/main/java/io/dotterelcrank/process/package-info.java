/**
 * What lives as long as a process; the sub-packages have the parts.
 */
package io.dotterelcrank.process;
