/**
 * Stand-in of a model engine, with faults to switch on.
 */
package io.dotterelcrank.standin.engine;
