/**
 * What lives for one configuration version: content, changes, the fold over the log.
 */
package io.dotterelcrank.version;
