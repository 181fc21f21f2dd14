/**
 * What operators publish about routes, services and workspaces, at one version.
 */
package io.dotterelcrank.version.plan;
