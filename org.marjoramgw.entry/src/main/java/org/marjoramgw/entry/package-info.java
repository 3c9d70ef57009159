/**
 * Entry process: accepts callers' HTTP requests and forwards them to side processes.
 */
package org.marjoramgw.entry;
