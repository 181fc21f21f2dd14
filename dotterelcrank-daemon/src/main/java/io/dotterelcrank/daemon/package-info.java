/**
 * The program's entry point.
 */
package io.dotterelcrank.daemon;
