/**
 * Checked exceptions that carry a result code.
 */
package org.marjoramgw.errors;
