/**
 * What the programs share: their command line, exit codes, version and ready line.
 */
package org.marjoramgw.program;
