/**
 * Tests of the validating TOML reader.
 */
package org.marjoramgw.settings;
