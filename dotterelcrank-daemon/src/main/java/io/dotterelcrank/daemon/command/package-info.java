/**
 * Command line interface: one class for each verb.
 */
package io.dotterelcrank.daemon.command;
