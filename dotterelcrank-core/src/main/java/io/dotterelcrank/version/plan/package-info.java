/**
 * Serving plan: the routes, services and workspaces that operators publish, as of one
 * version.
 */
package io.dotterelcrank.version.plan;
