/**
 * Failure tests of the whole system over fakes, on a manual clock.
 */
package io.dotterelcrank.standin;
