/**
 * Commands of the command line.
 */
package io.dotterelcrank.daemon.command;
