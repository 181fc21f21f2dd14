/**
 * Stand-in of a plain service that records what it ran.
 */
package io.dotterelcrank.standin.service;
