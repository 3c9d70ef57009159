/**
 * Operators' commands, one class for each subcommand.
 */
package org.marjoramgw.ctl;
