/**
 * Tests of the quarantine of content that crashes targets.
 */
package io.dotterelcrank.process.quarantine;
