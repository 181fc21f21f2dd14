/**
 * The stand-ins behind HTTP.
 */
package io.dotterelcrank.standin.http;
