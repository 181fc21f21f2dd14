/**
 * Failure tests of the whole system over stand-ins, on a manual clock.
 */
package io.dotterelcrank.standin;
