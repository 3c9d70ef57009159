/**
 * Validating reader for TOML settings and configuration.
 */
package org.marjoramgw.settings;
