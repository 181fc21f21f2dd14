/**
 * Stand-ins of the log, the host list and the weight store, with faults to switch on.
 */
package io.dotterelcrank.standin.platform;
