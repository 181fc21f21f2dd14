/**
 * Stand-in of the network between entry hosts and sidecars, with faults to switch on.
 */
package io.dotterelcrank.standin.transport;
