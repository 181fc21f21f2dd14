/**
 * Staged roll-outs of a service's version: what a new version gets, and when it is
 * completed or rolled back.
 */
package io.dotterelcrank.process.rollout;
