/**
 * HTTP servers of the stand-ins.
 */
package io.dotterelcrank.standin.http;
