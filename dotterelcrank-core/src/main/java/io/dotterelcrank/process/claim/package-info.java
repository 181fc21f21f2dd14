/**
 * Claims on idempotency keys, agreed through the log.
 */
package io.dotterelcrank.process.claim;
