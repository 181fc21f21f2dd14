/**
 * Routing in an entry host: choice of the target, outlier ejection, retry budget.
 */
package io.dotterelcrank.process.routing;
