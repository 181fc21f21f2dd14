/**
 * A simulated plain service that counts executions, with fault injection.
 */
package io.dotterelcrank.standin.service;
