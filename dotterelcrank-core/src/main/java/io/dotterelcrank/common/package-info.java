/**
 * Shared basics: clock, scheduler, hashing and log events.
 */
package io.dotterelcrank.common;
