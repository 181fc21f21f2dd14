/**
 * A simulated model engine with fault injection.
 */
package io.dotterelcrank.standin.engine;
