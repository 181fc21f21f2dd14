/**
 * Limits that all entry hosts keep to in sum: request rates of targets, and the budget of
 * retries.
 */
package io.dotterelcrank.process.limit;
