/**
 * Entry point of the command line.
 */
package io.dotterelcrank.daemon;
