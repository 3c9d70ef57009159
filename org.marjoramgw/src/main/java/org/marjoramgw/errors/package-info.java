/**
 * Checked exceptions, one for each cause.
 */
package org.marjoramgw.errors;
