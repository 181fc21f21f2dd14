/**
 * What all other packages use: time, threads, hashes and log events.
 */
package io.dotterelcrank.common;
