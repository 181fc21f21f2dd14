/**
 * Requests and their results: generations, service calls, failures, event ids and token
 * order.
 */
package io.dotterelcrank.request;
