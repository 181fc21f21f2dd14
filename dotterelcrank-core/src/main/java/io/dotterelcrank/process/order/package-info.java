/**
 * Orders to engines: reconciliation with the desired placement, fencing tokens.
 */
package io.dotterelcrank.process.order;
