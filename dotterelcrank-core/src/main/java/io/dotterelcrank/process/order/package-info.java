/**
 * Orders to engines: wanted state, fencing numbers, reconciliation.
 */
package io.dotterelcrank.process.order;
