/**
 * Tests of the reading of settings.
 */
package org.marjoramgw.settings;
