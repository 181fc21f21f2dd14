/**
 * Which targets there are, and which hosts of the system.
 */
package io.dotterelcrank.process.membership;
