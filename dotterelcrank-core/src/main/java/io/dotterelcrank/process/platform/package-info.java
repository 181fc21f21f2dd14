/**
 * Interfaces towards the systems outside: engines, plain services, log, host list, weight
 * store.
 */
package io.dotterelcrank.process.platform;
