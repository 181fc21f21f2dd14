/**
 * Tests.
 */
package io.dotterelcrank.process.membership;
