/**
 * State and logic of the running processes, by area in sub-packages.
 */
package io.dotterelcrank.process;
