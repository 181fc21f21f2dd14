/**
 * HTTP clients of engines, plain services and the systems of the platform.
 */
package io.dotterelcrank.daemon.client;
