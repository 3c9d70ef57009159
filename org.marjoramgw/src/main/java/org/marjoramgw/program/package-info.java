/**
 * Command-line frame that the programs share.
 */
package org.marjoramgw.program;
