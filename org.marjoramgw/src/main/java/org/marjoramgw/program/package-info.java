/**
 * Infrastructure that all programs share: command line, exit codes, version and ready
 * line.
 */
package org.marjoramgw.program;
