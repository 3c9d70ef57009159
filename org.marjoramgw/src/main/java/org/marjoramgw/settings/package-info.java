/**
 * Checked settings of a process, read from TOML.
 */
package org.marjoramgw.settings;
