/**
 * Clients of external systems: engines, plain services, log, host list, weight store.
 */
package io.dotterelcrank.process.platform;
