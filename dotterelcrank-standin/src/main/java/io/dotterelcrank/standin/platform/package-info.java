/**
 * In-memory log, host list and weight store with fault injection.
 */
package io.dotterelcrank.standin.platform;
