/**
 * What lives for one request: results, generations, token order.
 */
package io.dotterelcrank.request;
