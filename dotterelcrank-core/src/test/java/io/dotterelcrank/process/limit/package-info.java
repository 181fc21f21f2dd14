/**
 * Tests of the limits that all entry hosts keep to in sum.
 */
package io.dotterelcrank.process.limit;
