/**
 * Decisions of an entry host on which target a request goes to.
 */
package io.dotterelcrank.process.routing;
