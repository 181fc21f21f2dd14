/**
 * Tests of this package.
 */
package io.dotterelcrank.process.overload;
